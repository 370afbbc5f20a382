// The shards routed to this controller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "rooksill/changes/owned_partitions.h"
#include "rooksill/model/job.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/interval_timer.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::partition {

// The set of shards, ordered by id, whose unplaced tasks this controller has to place in its
// partitions. The leader assigns them. While there is no leader, each controller computes the
// assignment by the same deterministic rule (routing::fallback_partition).
class RoutedShards {
 public:
  using Shards = std::set<model::ShardId>;

  RoutedShards(const runtime::Context& context, const store::Replica& replica,
               const changes::OwnedPartitions& owned_partitions)
      : context_(context), replica_(replica), owned_partitions_(owned_partitions) {}

  // Returns false if the update is stale: an update of a later leader term was already applied.
  bool is_current(const wire::RoutingUpdate& update) const { return update.term >= term_; }
  // Adds the routes of a leader's update; a full update replaces all earlier routes. Requires
  // is_current(update).
  void apply(const wire::RoutingUpdate& update);
  // Adds a single shard.
  void add(const model::ShardId& shard) { shards_.insert(shard); }

  // Routes pending shards while there is no leader: adds the shards that the fallback rule
  // currently assigns to an owned partition and removes the others. Runs at most a few times per
  // heartbeat interval; returns false if it was not due.
  bool route_without_leader();

  bool empty() const { return shards_.empty(); }
  size_t size() const { return shards_.size(); }
  Shards::const_iterator begin() const { return shards_.begin(); }
  Shards::const_iterator end() const { return shards_.end(); }
  // Removes a shard and returns the position after it.
  Shards::const_iterator erase(Shards::const_iterator position) { return shards_.erase(position); }

 private:
  void route_job_without_leader(const model::Job& job);

  const runtime::Context& context_;
  const store::Replica& replica_;
  const changes::OwnedPartitions& owned_partitions_;
  Shards shards_;
  uint64_t term_ = 0;  // leader term of the last applied update
  runtime::IntervalTimer fallback_timer_;
};

}  // namespace rooksill::partition
