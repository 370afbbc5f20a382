// Part of PartitionOwner: when a placement pass runs, on which machines and for which shards.
#include <string>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/partition/placement_pass.h"
#include "rooksill/placement/work_order.h"

namespace rooksill::partition {

using placement::PendingShard;

namespace {
constexpr double kPassIntervalS = 0.025;  // minimum, for a pass with few pending shards
// The interval grows by kPassIntervalS for every so many pending shards.
constexpr double kShardsPerIntervalIncrease = 200;
}  // namespace

bool PartitionOwner::is_schedulable(const agent::Worker& worker) const {
  const bool is_responding =
      agent::seconds_since_contact(worker, context_) <
          agent::kProbeAfterHeartbeats * context_.settings.platform.report_s ||
      !worker.probe.has_failed;
  return worker.capacity.type != nullptr && worker.has_reported && is_responding &&
         !worker.failures.is_faulty && !worker.terminates_at &&
         !workers_.is_draining(worker.name) && worker.failures.avoid_until <= context_.now.steady;
}

std::vector<agent::Worker*> PartitionOwner::schedulable_workers() {
  std::vector<agent::Worker*> schedulable;
  for (auto& [name, worker] : workers_) {
    capacities_.capacity(worker);
    if (!is_schedulable(worker)) continue;
    worker.capacity.start_delay_s = agent::start_delay_s(worker, context_);
    schedulable.push_back(&worker);
  }
  return schedulable;
}

// Returns whether the team already exceeds its quota share in the worker's partition, including the
// tasks placed on the worker's machine.
bool PartitionOwner::exceeds_quota(const std::string& team, agent::Worker& worker) {
  capacities_.capacity(worker);
  return quota_usage_.is_exceeded(team, worker.partition);
}

// Returns the routed shards that may have tasks to place. Removes shards of jobs that have ended
// and shards that no longer exist.
std::vector<PendingShard> PartitionOwner::pending_shards() {
  std::vector<PendingShard> pending;
  for (auto it = routed_shards_.begin(); it != routed_shards_.end();) {
    const model::Job* job = replica_.job(it->job);
    if (job != nullptr && (job->over() || it->index >= job->shards.size())) {
      it = routed_shards_.erase(it);
      continue;
    }
    if (job != nullptr) {
      // A shard with unwritten changes is included: a task whose exit is not yet written may
      // already be placed again.
      const bool has_changes = changes_.find_shard(*it) != nullptr;
      if ((has_changes || job->shards[it->index].unplaced() > 0) && !is_backing_off(it->job))
        pending.push_back(
            {job, it->index,
             placement::due_time(*job, context_.settings.platform.objectives, context_.now.wall)});
    }
    ++it;
  }
  return pending;
}

// Each accepted heartbeat requests a placement pass.
bool PartitionOwner::expects_placement(double received_at) const {
  return !routed_shards_.empty() && last_pass_at_s_ < received_at;
}

void PartitionOwner::run_placement_pass() {
  if (!placement_requested_ || context_.now.steady < next_pass_at_s_) return;
  placement_requested_ = false;
  last_pass_at_s_ = context_.now.steady;
  if (owned_partitions_.empty() || routed_shards_.empty()) return;
  std::vector<PendingShard> pending = pending_shards();
  if (pending.empty()) return;
  const double interval_factor =
      1 + static_cast<double>(pending.size()) / kShardsPerIntervalIncrease;
  next_pass_at_s_ = context_.now.steady + kPassIntervalS * interval_factor;
  placement::sort_by_urgency(pending);
  quota_usage_.invalidate_shares();
  eviction_budget_.refill(client_.writes_per_s(), context_.now.steady);
  const auto has_failed_on = [this](const std::string& job, const std::string& machine) {
    return job_backoff_.has_failed_on(job, machine);
  };
  PlacementPass pass({context_, replica_, owned_partitions_, changes_, workers_, capacities_,
                      quota_usage_, evicted_tasks_, has_failed_on},
                     eviction_budget_, schedulable_workers());
  for (const PendingShard& shard : pending) {
    if (shard.job->spec.shape == model::Shape::kGang)
      pass.place_gang(shard);
    else if (changes_.can_queue_placement(*shard.job, shard.shard))
      pass.place_shard(shard);
  }
}

}  // namespace rooksill::partition
