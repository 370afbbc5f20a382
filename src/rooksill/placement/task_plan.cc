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
    const double most =
        std::min<double>({static_cast<double>(option.slots), static_cast<double>(demand.tasks),
                          static_cast<double>(demand.zones.left(zone)), quota_tasks});
    if (most < 1) continue;
    const auto tasks = static_cast<uint32_t>(most);
    assignments.push_back({option.machine, tasks});
    demand.tasks -= tasks;
    demand.zones.add(zone, tasks);
    quota_tasks -= tasks;
  }
  return assignments;
}

std::string roomiest_zone(const std::vector<MachineOption>& options) {
  std::map<std::string, uint64_t> slots;
  for (const auto& option : options) slots[option.capacity->zone] += option.slots;
  uint64_t most = 0;
  std::string roomiest;
  for (const auto& [zone, count] : slots) {
    if (count <= most) continue;
    most = count;
    roomiest = zone;
  }
  return roomiest;
}

}  // namespace rooksill::placement
