// Pending work for which no machine has capacity, summarized for the fleet.
#pragma once

#include <map>
#include <vector>

#include "rooksill/fleet/fleet.h"
#include "rooksill/model/job.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"

namespace rooksill::leader {

// Tracks since when each shard has had unplaced tasks. A shard that has just arrived is still being
// placed, so only tasks that have been pending for a minimum time count as lacking capacity.
class PendingWork {
 public:
  PendingWork(runtime::Context& context, const store::Replica& replica,
              const partition::PartitionOwner& owner)
      : context_(context), replica_(replica), owner_(owner) {}

  // Resets the state at the start of a term.
  void start_term() { pending_since_.clear(); }
  // Returns the jobs whose tasks lack capacity, with their number of such tasks, by descending
  // priority and then by submission time. Jobs that are backing off after failures are excluded.
  std::vector<fleet::PendingTasks> collect();

 private:
  runtime::Context& context_;
  const store::Replica& replica_;
  const partition::PartitionOwner& owner_;
  std::map<model::ShardId, double> pending_since_;  // seconds of the steady clock
};

}  // namespace rooksill::leader
