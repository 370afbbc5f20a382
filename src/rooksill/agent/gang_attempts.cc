#include "rooksill/agent/gang_attempts.h"

namespace rooksill::agent {

namespace {
// Calls `visit` for each task until it returns false. Returns whether all tasks were visited.
template <typename Visit>
bool for_each_task(const model::Job& job, Visit visit) {
  for (uint32_t shard_index = 0; shard_index < job.shards.size(); ++shard_index) {
    const model::TaskShard& shard = job.shards[shard_index];
    for (uint32_t task_index = 0; task_index < shard.tasks.size(); ++task_index)
      if (!visit(shard, model::TaskRef{job.spec.id, shard_index * job.tasks_per_shard + task_index},
                 shard.tasks[task_index]))
        return false;
  }
  return true;
}
}  // namespace

bool GangAttempts::has_lost_task(const model::Job& job) const {
  return !for_each_task(job, [this](const model::TaskShard& shard, const model::TaskRef& ref,
                                    const model::TaskState& task) {
    return task.done || !is_lost(shard, ref, task);
  });
}

bool GangAttempts::is_lost(const model::TaskShard& shard, const model::TaskRef& ref,
                           const model::TaskState& task) const {
  if (task.machine.empty()) return true;
  if (replica_.is_machine_unlisted(task.machine) && replica_.has_current_lists_for(shard))
    return true;
  const changes::TaskChange* change = changes_.find(ref);
  return change != nullptr && change->kind == changes::TaskChange::Kind::kLost;
}

void GangAttempts::evict_all(const model::Job& job) {
  for_each_task(job, [this](const model::TaskShard&, const model::TaskRef& ref,
                            const model::TaskState& task) {
    Worker* worker = task.machine.empty() ? nullptr : workers_.find(task.machine);
    if (worker != nullptr && evicted_.mark_evicted(ref, task.attempt))
      workers_.mark_changed(*worker);
    return true;
  });
}

}  // namespace rooksill::agent
