#include "rooksill/fleet/gang_target.h"

#include <algorithm>
#include <cstddef>
#include <map>

#include "rooksill/model/machine.h"

namespace rooksill::fleet {

namespace {

// How many of the gang's tasks fit, by target.
using TargetSpace = std::map<GangTarget, double>;

GangTarget target_in(const model::JobSpec& spec, int partition, const std::string& zone) {
  return {partition, spec.one_zone ? zone : ""};
}

// Every partition is a target wherever a machine for the gang can be rented, even without space.
void add_rentable_targets(const model::JobSpec& spec, const store::Replica& replica,
                          const CapacityLimits& capacity, TargetSpace& targets) {
  for (size_t partition = 0; partition < replica.leases.size(); ++partition)
    for (const auto& [name, type] : replica.types) {
      if (!spec.allows_type(name)) continue;
      for (const auto& zone : type.zones)
        if (capacity.is_open({{name, false}, zone}) ||
            (spec.spot && capacity.is_open({{name, true}, zone})))
          targets.emplace(target_in(spec, static_cast<int>(partition), zone), 0);
    }
}

void add_spaces(const model::JobSpec& spec, const std::vector<FreeSpace>& spaces,
                TargetSpace& targets) {
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
                              const CapacityLimits& capacity) {
  TargetSpace targets;
  add_rentable_targets(spec, replica, capacity, targets);
  add_spaces(spec, spaces, targets);
  GangTarget best;
  double most = -1;
  for (const auto& [target, tasks] : targets) {
    if (only_partition != kAnyPartition && target.partition != only_partition) continue;
    if (spec.one_zone && !spec.zone.empty() && target.zone != spec.zone) continue;
    if (tasks <= most) continue;
    most = tasks;
    best = target;
  }
  return best;
}

}  // namespace rooksill::fleet
