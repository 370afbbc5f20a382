// Leadership: what one controller does for all of them while it leads.
#pragma once

#include <cstdint>

#include "rooksill/fleet/fleet.h"
#include "rooksill/leader/election.h"
#include "rooksill/leader/job_finisher.h"
#include "rooksill/leader/partition_assigner.h"
#include "rooksill/leader/router.h"
#include "rooksill/leader/pending_work.h"
#include "rooksill/membership/peers.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::leader {

// Takes part in the election and, while this process leads, runs the leader's jobs in a fixed
// order: assign partitions, finish jobs, size the fleet, route shards. Everything but the
// election's and the partitions' leases in the store is soft state that a new leader gathers again.
class Leader {
 public:
  Leader(runtime::Context& context, store::Replica& replica, store::Client& client,
         store::Committer& committer, membership::Peers& peers, partition::PartitionOwner& owner,
         fleet::Fleet& fleet);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // `statuses`: what owners report of their machines.
  void tick(const wire::MachineStatusMap& statuses);
  // Routes at once the jobs that the last batch of changes touched.
  void route_changed_jobs();

  bool is_leading() const { return election_.is_leading(); }
  // No leader has been heard for a while: owners of partitions go on by themselves.
  bool is_leader_unreachable() const { return election_.is_leader_unreachable(); }
  // The term in which this process leads; 0 while it does not.
  uint64_t term() const { return election_.term(); }

 private:
  void start_term(uint64_t term);

  fleet::Fleet& fleet_;
  Election election_;
  PartitionAssigner assigner_;
  JobFinisher job_finisher_;
  PendingWork pending_work_;
  Router router_;
};

}  // namespace rooksill::leader
