// Quota usage of the teams in the partitions that this controller owns.
#pragma once

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/model/resources.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/quota/quota_transfers.h"
#include "rooksill/settings/settings.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::partition {

// Sums the resources that each team's tasks use on the machines of a partition, including
// placements that are not yet written to the store, and compares the sum with the team's quota
// share in the partition. Once a team has been queried for a partition, its usage there is reported
// to the leader, even when it is zero.
class QuotaUsage {
 public:
  QuotaUsage(const Settings& settings, const store::Replica& replica,
             const quota::QuotaTransfers& transfers)
      : settings_(settings), replica_(replica), quota_transfers_(transfers) {}

  // Adds the usage of the tasks on a machine.
  void add(const placement::MachineCapacity& machine);
  // Subtracts the usage of the tasks on a machine. Must be called before the machine's capacity is
  // recomputed.
  void subtract(const placement::MachineCapacity& machine);

  // Returns the team's quota share in the partition, minus the amount of an outgoing transfer.
  // Infinite if the team's quota is unlimited.
  const model::QuotaShare& share(const std::string& team, int partition);
  // Clears the cached shares. A share is computed once and cached until this call, which is made at
  // the start of each pass.
  void invalidate_shares() { shares_.clear(); }

  // Returns the unused part of the given share; negative if the usage exceeds the share.
  model::QuotaShare unused(const model::QuotaShare& share, const std::string& team, int partition);
  // Returns how many more tasks of the job fit in the team's share: a whole number, or infinity if
  // the quota is unlimited.
  double remaining_tasks(const model::JobSpec& spec, int partition);
  // Returns whether one more task of the job fits in the team's share.
  bool allows_task(const model::JobSpec& spec, int partition);
  // Returns whether the team's usage in the partition already exceeds its share.
  bool is_exceeded(const std::string& team, int partition);

  // Returns, for the leader, the usage of teams with a limited quota in the partitions for which
  // `owns` returns true. The amount of an outgoing transfer counts as used.
  std::vector<wire::QuotaUse> owned_usage(const std::function<bool(int partition)>& owns) const;

 private:
  struct Key {
    int partition = 0;
    std::string team;
    auto operator<=>(const Key&) const = default;
  };

  const Settings& settings_;
  const store::Replica& replica_;
  const quota::QuotaTransfers& quota_transfers_;
  std::map<Key, model::Resources> used_;     // memory is summed as well but has no quota
  std::map<Key, model::QuotaShare> shares_;  // cache, see invalidate_shares()
};

}  // namespace rooksill::partition
