#include "rooksill/fleet/gang_target.h"

#include <algorithm>
#include <cstddef>
#include <map>

#include "rooksill/model/machine.h"

namespace rooksill::fleet {

namespace {

// The number of the gang's tasks that fit in the free space of each target.
using TasksByTarget = std::map<GangTarget, double>;

GangTarget target_in(const model::JobSpec& spec, int partition, const std::string& zone) {
  return {partition, spec.one_zone ? zone : ""};
}

// Adds every partition, with each zone where a machine for the gang can be rented, as a target with
// no free space.
void add_rentable_targets(const model::JobSpec& spec, const store::Replica& replica,
                          const CapacityLimits& capacity_limits, TasksByTarget& targets) {
  for (size_t partition = 0; partition < replica.leases.size(); ++partition)
    for (const auto& [name, type] : replica.types) {
      if (!spec.allows_type(name)) continue;
      for (const auto& zone : type.zones)
        if (capacity_limits.can_request({{name, false}, zone}) ||
            (spec.spot && capacity_limits.can_request({{name, true}, zone})))
          targets.emplace(target_in(spec, static_cast<int>(partition), zone), 0);
    }
}

void add_spaces(const model::JobSpec& spec, const std::vector<FreeSpace>& spaces,
                TasksByTarget& targets) {
  for (const FreeSpace& space : spaces) {
    if (space.partition == kAnyPartition || (space.spot && !spec.spot)) continue;
    if (!spec.allows_type(space.type->name)) continue;
    const double fitting = std::min<double>(spec.tasks, spec.fitting_tasks(space.free));
    if (fitting >= 1) targets[target_in(spec, space.partition, space.zone)] += fitting;
  }
}

}  // namespace

GangTarget choose_gang_target(const model::JobSpec& spec, const std::vector<FreeSpace>& spaces,
                              int only_partition, const store::Replica& replica,
                              const CapacityLimits& capacity_limits) {
  TasksByTarget targets;
  add_rentable_targets(spec, replica, capacity_limits, targets);
  add_spaces(spec, spaces, targets);
  GangTarget best;
  double most_tasks = -1;
  for (const auto& [target, tasks] : targets) {
    if (only_partition != kAnyPartition && target.partition != only_partition) continue;
    if (spec.one_zone && !spec.zone.empty() && target.zone != spec.zone) continue;
    if (tasks <= most_tasks) continue;
    most_tasks = tasks;
    best = target;
  }
  return best;
}

}  // namespace rooksill::fleet
