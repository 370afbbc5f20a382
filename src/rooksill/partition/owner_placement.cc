// When a pass of placement runs, on which machines, and for which work.
#include <string>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/partition/placement_pass.h"
#include "rooksill/placement/work_order.h"

namespace rooksill::partition {

using placement::WaitingShard;

namespace {
constexpr double kPassPause = 0.025;  // seconds between two passes
constexpr double kShardsThatDoublePause = 200;
}  // namespace

bool PartitionOwner::open(const agent::Worker& w) const {
  const bool heard =
      agent::seconds_since_contact(w, ctx_) < agent::kProbeAfterHeartbeats * ctx_.settings.platform.report_s ||
      !w.probe.has_failed;
  return w.capacity.type != nullptr && w.has_reported && heard && !w.failures.is_faulty &&
         !w.terminates_at && !workers_.is_draining(w.name) &&
         w.failures.avoid_until <= ctx_.now.steady;
}

std::vector<agent::Worker*> PartitionOwner::open_workers() {
  std::vector<agent::Worker*> out;
  for (auto& [name, w] : workers_) {
    capacities_.capacity(w);
    if (open(w)) out.push_back(&w);
  }
  return out;
}

// Whether what the team has in the machine's partition, with what is placed there, is too much
// already.
bool PartitionOwner::exceeds_quota(const std::string& team, agent::Worker& w) {
  capacities_.capacity(w);
  return quota_usage_.exceeded(team, w.partition);
}

// Of the shards routed here, those that may have tasks to place; forgets those of jobs that are
// over.
std::vector<WaitingShard> PartitionOwner::waiting_shards() {
  std::vector<WaitingShard> waiting;
  for (auto it = routed_.begin(); it != routed_.end();) {
    const model::Job* job = replica_.job(it->job);
    if (job != nullptr && (job->over() || it->index >= job->shards.size())) {
      it = routed_.erase(it);
      continue;
    }
    if (job != nullptr) {
      // A task that ended, which is not written yet, may get its next place already.
      const bool changing = changes_.find_shard(*it) != nullptr;
      if ((changing || job->shards[it->index].unplaced() > 0) && !backing_off(it->job))
        waiting.push_back(
            {job, it->index,
             placement::due_time(*job, ctx_.settings.platform.objectives, ctx_.now.wall)});
    }
    ++it;
  }
  return waiting;
}

void PartitionOwner::place() {
  if (!placement_requested_ || ctx_.now.steady < next_place_) return;
  placement_requested_ = false;
  if (owned_.empty() || routed_.empty()) return;
  std::vector<WaitingShard> waiting = waiting_shards();
  if (waiting.empty()) return;
  const double slowdown = 1 + static_cast<double>(waiting.size()) / kShardsThatDoublePause;
  next_place_ = ctx_.now.steady + kPassPause * slowdown;
  placement::sort_by_urgency(waiting);
  quota_usage_.refresh_shares();
  eviction_budget_.refill(client_.writes_per_s(), ctx_.now.steady);
  const auto failed_there = [this](const std::string& job, const std::string& machine) {
    return job_backoff_.has_failed_on(job, machine);
  };
  PlacementPass pass({ctx_, replica_, owned_, changes_, workers_, capacities_, quota_usage_,
                      evicted_, failed_there},
                     eviction_budget_, open_workers());
  for (const WaitingShard& shard : waiting) {
    if (shard.job->spec.shape == model::Shape::kGang)
      pass.place_gang(shard);
    else if (changes_.may_decide(*shard.job, shard.shard))
      pass.place_shard(shard);
  }
}

}  // namespace rooksill::partition
