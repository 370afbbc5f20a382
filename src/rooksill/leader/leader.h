// The leader's duties, which one controller at a time performs for all controllers.
#pragma once

#include <cstdint>
#include <string>

#include "rooksill/fleet/fleet.h"
#include "rooksill/leader/election.h"
#include "rooksill/leader/job_finisher.h"
#include "rooksill/leader/partition_assigner.h"
#include "rooksill/leader/pending_work.h"
#include "rooksill/leader/router.h"
#include "rooksill/membership/peers.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::leader {

// Takes part in the election and, while this process leads, runs the leader's duties in a fixed
// order: assigning partitions, finishing jobs, managing the fleet, routing shards. Except for the
// leader's and the partitions' leases in the store, all of it is soft state that a new leader
// collects again.
class Leader {
 public:
  Leader(runtime::Context& context, store::Replica& replica, store::Client& client,
         store::Committer& committer, membership::Peers& peers, partition::PartitionOwner& owner,
         fleet::Fleet& fleet);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Runs the election and, if this process leads, the leader's duties. `statuses`: machine statuses
  // reported by the partition owners.
  void tick(const wire::MachineStatusMap& statuses);
  // Routes the jobs affected by the last batch of store changes without waiting for the next tick.
  void route_changed_jobs();

  // Leases a partition to its present owner again, if `sender` is the owner under the lease that
  // the request names. Ignored unless this process leads.
  void renew_lease(const std::string& sender, const wire::LeaseRenewalRequest& request);

  // Returns whether this process leads.
  bool is_leading() const { return election_.is_leading(); }
  // Returns whether there is no reachable leader. Partition owners then place work without one.
  bool is_leader_unreachable() const { return election_.is_leader_unreachable(); }
  // Returns the term in which this process leads; 0 if it does not lead.
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
