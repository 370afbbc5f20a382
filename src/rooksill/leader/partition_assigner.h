// Assigns the ownership of partitions to controllers.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rooksill/fleet/unreachable_machines.h"
#include "rooksill/leader/election.h"
#include "rooksill/membership/peers.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::leader {

// Leases each partition to an eligible controller and keeps the number of partitions per controller
// even. Each lease has a fencing token greater than all earlier ones and is written only while this
// process holds the leader key. Also decides which owners' reports of unreachable machines can be
// trusted, because that depends on the ownership of partitions. Times are seconds of the steady
// clock.
class PartitionAssigner {
 public:
  PartitionAssigner(runtime::Context& context, const store::Replica& replica,
                    store::Committer& committer, const membership::Peers& peers,
                    const partition::PartitionOwner& owner, const Election& election);

  // Resets the state at the start of a term.
  void start_term();
  // Replaces ineligible owners, then moves at most one partition to even out the numbers per
  // controller. Moves none while leases are in flight.
  void assign();
  // Leases the partition to its present owner again, which gives it new fencing tokens. Ignored if
  // `sender` does not own the partition under the lease that the request names.
  void renew_lease(const std::string& sender, const wire::LeaseRenewalRequest& request);

  // Returns the partitions whose owner's reports of unreachable machines are not trusted: the owner
  // is probably isolated from the network, because nearly all of its machines became unreachable at
  // once, or the owner is not alive. Reports of the owner that replaces an isolated one are trusted
  // for a limited time.
  std::set<int> suspect_partitions() const;
  // Returns the zones that partition owners report as unreachable, by partition, and those that are
  // unreachable to most owners. An owner inside an isolated zone can still reach it.
  fleet::UnreachableZones unreachable_zones() const;

 private:
  struct Candidates {
    std::vector<std::string> labels;              // controllers that may own partitions
    std::map<std::string, int> partition_counts;  // partitions owned, by controller
    // Returns whether the controller is a candidate.
    bool contains(const std::string& label) const;
    // Returns the candidate with the fewest partitions; the first of them if several are equal.
    const std::string& least_loaded() const;
  };

  Candidates find_candidates();
  bool check_eligibility(const std::string& label);
  std::string ineligibility_reason(const std::string& label) const;
  bool should_wait_for_peers() const;
  void replace_owners(Candidates& candidates);
  void rebalance(const Candidates& candidates);
  int choose_partition_to_move(const std::string& from, const std::string& to) const;
  void write_lease(int partition, const std::string& label, const std::string& reason);
  model::PartitionLease next_lease(const std::string& label) const;

  bool is_self(const std::string& label) const;
  bool is_likely_isolated(const std::string& label) const;
  uint64_t incarnation_of(const std::string& label) const;
  std::vector<std::string> zones_unreachable_to(const std::string& label) const;

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Committer& committer_;
  const membership::Peers& peers_;
  const partition::PartitionOwner& owner_;
  const Election& election_;

  std::set<int> in_flight_;  // partitions with a lease transaction or read-back in progress
  std::map<std::string, std::string> ineligibility_reasons_;  // by controller; empty: eligible
  // When each partition was last reassigned from an owner that was probably isolated.
  std::map<int, double> reassigned_from_suspect_at_;
};

}  // namespace rooksill::leader
