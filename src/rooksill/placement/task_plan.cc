#include "rooksill/placement/task_plan.h"

#include <algorithm>

namespace rooksill::placement {

void sort_by_score(std::vector<MachineOption>& options) {
  std::sort(options.begin(), options.end(), [](const MachineOption& a, const MachineOption& b) {
    return a.score != b.score ? a.score < b.score : a.capacity->machine < b.capacity->machine;
  });
}

std::vector<Assignment> assign_in_order(std::span<const MachineOption> options, Demand& demand) {
  std::vector<Assignment> assignments;
  for (const MachineOption& option : options) {
    if (demand.tasks == 0) break;
    const std::string& zone = option.capacity->zone;
    double& quota_tasks = demand.quota_tasks[option.capacity->partition];
    const double assignable_tasks =
        std::min<double>({static_cast<double>(option.slots), static_cast<double>(demand.tasks),
                          static_cast<double>(demand.zones.remaining(zone)), quota_tasks});
    if (assignable_tasks < 1) continue;
    const auto tasks = static_cast<uint32_t>(assignable_tasks);
    assignments.push_back({option.machine_index, tasks});
    demand.tasks -= tasks;
    demand.zones.add(zone, tasks);
    quota_tasks -= tasks;
  }
  return assignments;
}

std::string zone_with_most_slots(const std::vector<MachineOption>& options) {
  std::map<std::string, uint64_t> slots_by_zone;
  for (const auto& option : options) slots_by_zone[option.capacity->zone] += option.slots;
  uint64_t max_slots = 0;
  std::string best_zone;
  for (const auto& [zone, count] : slots_by_zone) {
    if (count <= max_slots) continue;
    max_slots = count;
    best_zone = zone;
  }
  return best_zone;
}

}  // namespace rooksill::placement
