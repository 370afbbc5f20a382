#include "rooksill/partition/routed_shards.h"

#include "rooksill/routing/fallback_routing.h"

namespace rooksill::partition {

namespace {
// How many times per heartbeat interval shards are rerouted while there is no leader.
constexpr double kFallbackRoutingsPerHeartbeat = 6;
}  // namespace

void RoutedShards::apply(const wire::RoutingUpdate& update) {
  if (update.is_full) shards_.clear();
  term_ = update.term;
  for (const wire::ShardRoute& route : update.routes) shards_.insert({route.job, route.shard});
}

bool RoutedShards::route_without_leader() {
  const double interval_s = context_.settings.platform.report_s / kFallbackRoutingsPerHeartbeat;
  if (!fallback_timer_.fire(context_.now.steady, interval_s)) return false;
  for (const auto& id : replica_.pending_jobs)
    if (const model::Job* job = replica_.job(id)) route_job_without_leader(*job);
  return true;
}

void RoutedShards::route_job_without_leader(const model::Job& job) {
  for (uint32_t i = 0; i < job.shards.size(); ++i) {
    const model::TaskShard& shard = job.shards[i];
    if (shard.done + shard.placed >= shard.tasks.size()) continue;
    const int partition =
        routing::fallback_partition(context_.settings, replica_, job, i, context_.now.wall);
    const model::ShardId id{job.spec.id, i};
    if (owned_partitions_.owns(partition))
      shards_.insert(id);
    else
      shards_.erase(id);
  }
}

}  // namespace rooksill::partition
