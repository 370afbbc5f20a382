// Which controller owns which partition.
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

namespace rooksill::leader {

// Leases each partition to a controller that can serve it and keeps the number of partitions per
// controller even. Each lease carries a fencing token above those of all earlier ones, and is
// written only while this process has the leader's key. Also says what the owners' reports of
// silent machines are worth, since that depends on who owns what. Times are seconds of the steady
// clock.
class PartitionAssigner {
 public:
  PartitionAssigner(runtime::Context& context, const store::Replica& replica,
                    store::Committer& committer, const membership::Peers& peers,
                    const partition::PartitionOwner& owner, const Election& election);

  void start_term();
  // Replaces owners that cannot serve; otherwise moves at most one partition for balance.
  void assign();

  // Partitions whose owner saw nearly all machines fall silent at once. That may be the owner's own
  // trouble, so its word on silent machines does not count. The next owner's word does.
  std::set<int> suspect_partitions() const;
  // Zones that owners find cut off. An owner inside such a zone sees it otherwise.
  fleet::UnreachableZones unreachable_zones() const;

 private:
  struct Candidates {
    std::vector<std::string> labels;   // controllers that may own partitions
    std::map<std::string, int> owned;  // partitions by controller
    bool include(const std::string& label) const;
    // The one with the fewest partitions; the first of them among equals.
    const std::string& least_loaded() const;
  };

  Candidates find_candidates();
  bool may_own(const std::string& label);
  std::string reason_against(const std::string& label) const;
  bool waits_for_peers() const;
  void replace_owners(Candidates& candidates);
  void rebalance(const Candidates& candidates);
  int partition_to_move(const std::string& from, const std::string& to) const;
  void lease(int partition, const std::string& label, const std::string& reason);
  model::PartitionLease next_lease(const std::string& label) const;

  bool is_self(const std::string& label) const;
  bool suspects_itself(const std::string& label) const;
  uint64_t incarnation_of(const std::string& label) const;
  std::vector<std::string> zones_unreachable_to(const std::string& label) const;

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Committer& committer_;
  const membership::Peers& peers_;
  const partition::PartitionOwner& owner_;
  const Election& election_;

  std::set<int> in_flight_;  // partitions whose lease was sent, or is being read back
  std::map<std::string, std::string> unfit_;  // controller -> why it may own no partitions
  // When each partition was last taken from an owner that suspected itself.
  std::map<int, double> taken_from_suspect_;
};

}  // namespace rooksill::leader
