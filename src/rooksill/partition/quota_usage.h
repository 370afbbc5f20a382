// What teams use of their quotas in the partitions that this controller owns.
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

// Sums what the machines of a partition hold for each team, decided placements included, and
// compares it with the team's share of its quota there. A team that was asked about in a partition
// is reported to the leader from then on, if only with nothing in use.
class QuotaUsage {
 public:
  QuotaUsage(const Settings& settings, const store::Replica& replica,
             const quota::QuotaTransfers& transfers)
      : settings_(settings), replica_(replica), quota_transfers_(transfers) {}

  // Counts what the tasks on a machine use, and takes it back. A machine's use has to be taken back
  // before its capacity is computed anew.
  void add(const placement::MachineCapacity& machine);
  void subtract(const placement::MachineCapacity& machine);

  // What the team may use in the partition, less what is on its way to another one. Infinite
  // without a quota.
  const model::QuotaShare& share(const std::string& team, int partition);
  // Shares are computed once and kept until this is called: at the start of each pass.
  void invalidate_shares() { shares_.clear(); }

  // The part of a share that is not in use; below zero if more than the share is.
  model::QuotaShare unused(const model::QuotaShare& share, const std::string& team, int partition);
  // How many more tasks of the job the team's share takes. A whole number, infinite without a
  // quota.
  double remaining_tasks(const model::JobSpec& spec, int partition);
  // Whether one more task of the job is within the team's share.
  bool allows_task(const model::JobSpec& spec, int partition);
  // Whether what the team has in the partition is more than its share already.
  bool is_exceeded(const std::string& team, int partition);

  // For the leader: what teams with a quota use in the partitions owned.
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
  std::map<Key, model::Resources> used_;  // memory is summed as well, and has no quota
  std::map<Key, model::QuotaShare> shares_;
};

}  // namespace rooksill::partition
