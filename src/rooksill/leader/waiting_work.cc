#include "rooksill/leader/waiting_work.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace rooksill::leader {

namespace {

// Report periods that a shard has to wait before it counts as lacking room.
constexpr double kWaitsPerReport = 6;

bool goes_first(const fleet::WaitingTasks& a, const fleet::WaitingTasks& b) {
  if (a.job->spec.priority != b.job->spec.priority)
    return a.job->spec.priority > b.job->spec.priority;
  return a.job->submitted_at < b.job->submitted_at;
}

}  // namespace

std::vector<fleet::WaitingTasks> WaitingWork::collect() {
  std::vector<fleet::WaitingTasks> work;
  std::map<model::ShardId, double> waiting_since;
  const double now = context_.now.steady;
  const double patience = context_.settings.platform.report_s / kWaitsPerReport;
  for (const auto& id : replica_.pending_jobs) {
    if (owner_.backing_off(id)) continue;
    const model::Job& job = *replica_.job(id);
    uint32_t tasks = 0;
    for (uint32_t index = 0; index < job.shards.size(); ++index) {
      const uint32_t unplaced = job.shards[index].unplaced();
      if (unplaced == 0) continue;
      const model::ShardId shard{id, index};
      auto known = waiting_since_.find(shard);
      const double since = known != waiting_since_.end() ? known->second : now;
      waiting_since[shard] = since;
      if (now - since > patience) tasks += unplaced;
    }
    if (tasks > 0) work.push_back({&job, tasks});
  }
  waiting_since_ = std::move(waiting_since);
  std::sort(work.begin(), work.end(), goes_first);
  return work;
}

}  // namespace rooksill::leader
