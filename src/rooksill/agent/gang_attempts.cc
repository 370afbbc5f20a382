#include "rooksill/agent/gang_attempts.h"

namespace rooksill::agent {

namespace {
// Calls `visit` for each task until it returns false.
template <typename Visit>
bool for_each_task(const model::Job& job, Visit visit) {
  for (uint32_t s = 0; s < job.shards.size(); ++s) {
    const model::TaskShard& shard = job.shards[s];
    for (uint32_t i = 0; i < shard.tasks.size(); ++i)
      if (!visit(shard, model::TaskRef{job.spec.id, s * job.tasks_per_shard + i}, shard.tasks[i]))
        return false;
  }
  return true;
}
}  // namespace

bool GangAttempts::broken(const model::Job& job) const {
  return !for_each_task(
      job, [this](const model::TaskShard& shard, const model::TaskRef& ref,
                  const model::TaskState& task) { return task.done || !gone(shard, ref, task); });
}

bool GangAttempts::gone(const model::TaskShard& shard, const model::TaskRef& ref,
                        const model::TaskState& task) const {
  if (task.machine.empty()) return true;
  if (replica_.is_machine_unlisted(task.machine) && replica_.has_current_lists_for(shard)) return true;
  const changes::TaskChange* change = changes_.find(ref);
  return change != nullptr && change->kind == changes::TaskChange::Kind::kLost;
}

void GangAttempts::stop(const model::Job& job) {
  for_each_task(job, [this](const model::TaskShard&, const model::TaskRef& ref,
                            const model::TaskState& task) {
    Worker* worker = task.machine.empty() ? nullptr : workers_.find(task.machine);
    if (worker != nullptr && evicted_.evict(ref, task.attempt)) workers_.mark_changed(*worker);
    return true;
  });
}

}  // namespace rooksill::agent
