#include "rooksill/fleet/job_demand.h"

#include <algorithm>

#include "rooksill/model/machine.h"

namespace rooksill::fleet {

JobDemand::JobDemand(const WaitingTasks& waiting, const store::Replica& replica)
    : spec_(waiting.job->spec), unassigned_(waiting.count), zone_(spec_.zone) {
  if (!spec_.spread && !spec_.one_zone) return;
  for (const model::TaskShard& shard : waiting.job->shards)
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
  const uint32_t most = spec_.max_tasks_in_zone();
  const auto there = tasks_by_zone_.find(zone);
  return there == tasks_by_zone_.end() ? most : most - std::min(there->second, most);
}

bool JobDemand::allows(const FreeSpace& space) const {
  if (space.spot && !spec_.spot) return false;
  if (partition_ != kAnyPartition && space.partition != partition_) return false;
  return spec_.allows_type(space.type->name);
}

uint32_t JobDemand::assign_to(FreeSpace& space) {
  if (!allows(space)) return 0;
  const uint32_t most = std::min(unassigned_, zone_allowance(space.zone));
  const double fitting = std::min<double>(most, spec_.fitting_tasks(space.free));
  if (fitting < 1) return 0;
  const auto assigned = static_cast<uint32_t>(fitting);
  space.free -= spec_.request * fitting;
  unassigned_ -= assigned;
  tasks_by_zone_[space.zone] += assigned;
  if (spec_.one_zone) zone_ = space.zone;
  return assigned;
}

}  // namespace rooksill::fleet
