#include "rooksill/leader/pending_work.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace rooksill::leader {

namespace {

// A shard counts as lacking capacity once it has been pending for a heartbeat interval divided by
// this.
constexpr double kMinPendingTimesPerHeartbeat = 6;

bool precedes(const fleet::PendingTasks& a, const fleet::PendingTasks& b) {
  if (a.job->spec.priority != b.job->spec.priority)
    return a.job->spec.priority > b.job->spec.priority;
  return a.job->submitted_at < b.job->submitted_at;
}

}  // namespace

std::vector<fleet::PendingTasks> PendingWork::collect() {
  std::vector<fleet::PendingTasks> work;
  std::map<model::ShardId, double> pending_since;
  const double now = context_.now.steady;
  const double min_pending_s = context_.settings.platform.report_s / kMinPendingTimesPerHeartbeat;
  for (const auto& id : replica_.pending_jobs) {
    const model::Job* job = replica_.job(id);
    if (job == nullptr || owner_.is_backing_off(id)) continue;
    uint32_t tasks = 0;
    for (uint32_t index = 0; index < job->shards.size(); ++index) {
      const uint32_t unplaced = job->shards[index].unplaced();
      if (unplaced == 0) continue;
      const model::ShardId shard{id, index};
      auto known = pending_since_.find(shard);
      const double since = known != pending_since_.end() ? known->second : now;
      pending_since[shard] = since;
      if (now - since > min_pending_s) tasks += unplaced;
    }
    if (tasks > 0) work.push_back({job, tasks});
  }
  pending_since_ = std::move(pending_since);
  std::sort(work.begin(), work.end(), precedes);
  return work;
}

}  // namespace rooksill::leader
