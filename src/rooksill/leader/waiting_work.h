// Work that waits because no machine has room for it, summed up for the fleet.
#pragma once

#include <map>
#include <vector>

#include "rooksill/fleet/fleet.h"
#include "rooksill/model/job.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"

namespace rooksill::leader {

// Remembers since when each shard has had unplaced tasks, by the steady clock. A shard that came
// just now is still being placed: only what has waited for a while counts as lacking room.
class WaitingWork {
 public:
  WaitingWork(runtime::Context& context, const store::Replica& replica,
              const partition::PartitionOwner& owner)
      : context_(context), replica_(replica), owner_(owner) {}

  void start_term() { waiting_since_.clear(); }
  // The jobs with waiting tasks, highest priority first, then in order of submission. Jobs that are
  // backing off after failures are left out.
  std::vector<fleet::PendingTasks> collect();

 private:
  runtime::Context& context_;
  const store::Replica& replica_;
  const partition::PartitionOwner& owner_;
  std::map<model::ShardId, double> waiting_since_;
};

}  // namespace rooksill::leader
