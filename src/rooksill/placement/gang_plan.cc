#include "rooksill/placement/gang_plan.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace rooksill::placement {

namespace {

struct GangPlan {
  std::vector<Assignment> assignments;  // empty: the options cannot hold all tasks
  double start_s = 0;                   // start of its last task, in seconds from now
  double score = 0;                     // sum over all tasks; lower is better
};

// Assigns all tasks of the demand in the order of the options; returns an empty plan if they do not
// fit.
GangPlan assign_all_tasks(const std::vector<MachineOption>& options, Demand demand) {
  GangPlan plan;
  plan.assignments = assign_in_order(options, demand);
  if (demand.tasks > 0) return {};
  auto option = options.begin();
  for (const Assignment& assignment : plan.assignments) {
    // Assignments are in the order of the options.
    while (option->machine_index != assignment.machine_index) ++option;
    plan.start_s = std::max(plan.start_s, option->start_s);
    plan.score += option->score * assignment.tasks;
  }
  return plan;
}

// CPUs available to the gang on the machine if all tasks of lower priority were evicted.
double cpus_after_preemption(const model::JobSpec& spec, const MachineCapacity& machine,
                             const Feasibility& feasibility) {
  double cpus = feasibility.free_after_evictions(spec, machine).cpus;
  for (size_t lower_priority = 0; lower_priority < static_cast<size_t>(spec.priority);
       ++lower_priority)
    cpus += machine.cpus_by_priority[lower_priority];
  return cpus;
}

}  // namespace

std::vector<Assignment> plan_gang(std::vector<MachineOption> options, const Demand& demand,
                                  bool one_zone) {
  std::stable_sort(options.begin(), options.end(),
                   [](const MachineOption& a, const MachineOption& b) {
                     return std::tie(a.start_s, a.score) < std::tie(b.start_s, b.score);
                   });
  if (!one_zone) return assign_all_tasks(options, demand).assignments;
  std::set<std::string> zones;
  for (const auto& option : options) zones.insert(option.capacity->zone);
  GangPlan best;
  for (const auto& zone : zones) {
    std::vector<MachineOption> zone_options;
    std::copy_if(options.begin(), options.end(), std::back_inserter(zone_options),
                 [&](const MachineOption& option) { return option.capacity->zone == zone; });
    GangPlan plan = assign_all_tasks(zone_options, demand);
    if (plan.assignments.empty()) continue;
    if (best.assignments.empty() ||
        std::tie(plan.start_s, plan.score) < std::tie(best.start_s, best.score))
      best = std::move(plan);
  }
  return best.assignments;
}

std::optional<GangCapacity> max_gang_capacity(const model::JobSpec& spec,
                                              const std::vector<const MachineCapacity*>& machines,
                                              const Feasibility& feasibility) {
  if (spec.request.cpus <= 0) return std::nullopt;
  std::map<std::string, double> tasks_by_zone;
  for (const MachineCapacity* machine : machines) {
    if (!Feasibility::allows(spec, *machine)) continue;
    const double cpus = cpus_after_preemption(spec, *machine, feasibility);
    const double tasks = std::floor((cpus + model::Resources::kRoundingError) / spec.request.cpus);
    tasks_by_zone[spec.one_zone ? machine->zone : ""] += std::max(0.0, tasks);
  }
  const auto best =
      std::max_element(tasks_by_zone.begin(), tasks_by_zone.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  if (best == tasks_by_zone.end()) return std::nullopt;
  return GangCapacity{best->first, best->second};
}

}  // namespace rooksill::placement
