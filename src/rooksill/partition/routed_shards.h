// The shards that are routed to this controller.
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

// Shards whose unplaced tasks this controller has to place in its partitions, in the order of their
// ids. The leader routes them; without one, controllers share a rule.
class RoutedShards {
 public:
  using Shards = std::set<model::ShardId>;

  RoutedShards(const runtime::Context& context, const store::Replica& replica,
               const changes::OwnedPartitions& owned)
      : context_(context), replica_(replica), owned_(owned) {}

  // Whether a message of the leader counts: not if one of a later term has come before.
  bool is_current(const wire::RoutingUpdate& update) const { return update.term >= term_; }
  // Adds the leader's routes; a full update replaces what was routed before. It has to be current.
  void apply(const wire::RoutingUpdate& update);
  void add(const model::ShardId& shard) { shards_.insert(shard); }

  // While nobody leads: adds the waiting shards whose turn it is in a partition owned here, and
  // removes the others. Does so a few times in a report interval; false if it was not due.
  bool route_without_leader();

  bool empty() const { return shards_.empty(); }
  size_t size() const { return shards_.size(); }
  Shards::const_iterator begin() const { return shards_.begin(); }
  Shards::const_iterator end() const { return shards_.end(); }
  // Returns the position after the shard that is removed.
  Shards::const_iterator erase(Shards::const_iterator position) { return shards_.erase(position); }

 private:
  void route_job_without_leader(const model::Job& job);

  const runtime::Context& context_;
  const store::Replica& replica_;
  const changes::OwnedPartitions& owned_;
  Shards shards_;
  uint64_t term_ = 0;  // of the last update
  runtime::IntervalTimer fallback_timer_;
};

}  // namespace rooksill::partition
