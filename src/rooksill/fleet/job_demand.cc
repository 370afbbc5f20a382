#include "rooksill/fleet/job_demand.h"

#include <algorithm>

#include "rooksill/model/machine.h"

namespace rooksill::fleet {

JobDemand::JobDemand(const PendingTasks& pending, const store::Replica& replica)
    : spec_(pending.job->spec), unassigned_(pending.count), zone_(spec_.zone) {
  if (!spec_.spread && !spec_.one_zone) return;
  for (const model::TaskShard& shard : pending.job->shards)
    for (const model::TaskState& task : shard.tasks) {
      if (task.machine.empty()) continue;
      const model::Machine* machine = replica.machine(task.machine);
      if (machine == nullptr) continue;
      ++tasks_by_zone_[machine->zone];
      if (spec_.one_zone) zone_ = machine->zone;
    }
}

uint32_t JobDemand::zone_allowance(const std::string& zone) const {
  if (!zone_.empty() && zone != zone_) return 0;
  if (!spec_.spread) return spec_.tasks;
  const uint32_t limit = spec_.max_tasks_in_zone();
  const auto placed = tasks_by_zone_.find(zone);
  return placed == tasks_by_zone_.end() ? limit : limit - std::min(placed->second, limit);
}

bool JobDemand::can_use(const FreeSpace& space) const {
  if (space.spot && !spec_.spot) return false;
  if (partition_ != kAnyPartition && space.partition != partition_) return false;
  return spec_.allows_type(space.type->name);
}

uint32_t JobDemand::assign_to(FreeSpace& space) {
  if (!can_use(space)) return 0;
  const uint32_t limit = std::min(unassigned_, zone_allowance(space.zone));
  const double fitting = std::min<double>(limit, spec_.fitting_tasks(space.free));
  if (fitting < 1) return 0;
  const auto assigned = static_cast<uint32_t>(fitting);
  space.free -= spec_.request * fitting;
  unassigned_ -= assigned;
  tasks_by_zone_[space.zone] += assigned;
  if (spec_.one_zone) zone_ = space.zone;
  return assigned;
}

}  // namespace rooksill::fleet
