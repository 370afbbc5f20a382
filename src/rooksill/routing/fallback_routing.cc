#include "rooksill/routing/fallback_routing.h"

#include <algorithm>

#include "rooksill/quota/quota_shares.h"

namespace rooksill::routing {

namespace {

// How long a shard stays with one partition, in heartbeat intervals.
constexpr double kTurnHeartbeats = 2;

// Returns whether all shards of the job must be in the same partition: only one partition at a time
// places a job whose tasks' placements depend on each other.
bool requires_common_partition(const model::JobSpec& spec) {
  return spec.one_zone || spec.spread || spec.shape == model::Shape::kGang;
}

// Returns the first turn's number, which spreads jobs and the shards of a job over the partitions.
uint64_t initial_turn(const model::JobSpec& spec, uint32_t shard) {
  uint64_t hash = requires_common_partition(spec) ? 0 : shard;
  for (unsigned char character : spec.id) hash = hash * 31 + character;
  return hash;
}

}  // namespace

int fallback_partition(const Settings& settings, const store::Replica& replica,
                       const model::Job& job, uint32_t shard, double wall_time) {
  const double turn_s = kTurnHeartbeats * settings.platform.report_s;
  const size_t partitions = replica.leases.size();
  uint64_t turn = initial_turn(job.spec, shard) +
                  static_cast<uint64_t>(std::max(0.0, wall_time - job.submitted_at) / turn_s);
  for (size_t i = 0; i < partitions; ++i, ++turn) {
    const int partition = static_cast<int>(turn % partitions);
    if (quota::quota_share(settings, replica, job.spec.team, partition).cpus >=
        job.spec.request.cpus)
      return partition;
  }
  return 0;
}

}  // namespace rooksill::routing
