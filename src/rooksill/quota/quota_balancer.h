// The leader's view of the remaining quota of each team, and its choice of quota transfers.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/quota/quota_shares.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::quota {

// How many tasks of one shard fit in a partition.
struct PartitionFit {
  double within_capacity = 0;  // tasks that fit on its machines
  double within_share = 0;     // of these, tasks that the team's remaining quota share allows
};

// If a partition has free machine capacity but no remaining share of a team's quota, while another
// partition has a remaining share that it cannot use, the leader requests a transfer from the other
// partition's owner. The owner decides how much it transfers (QuotaTransfers). Enforcement of the
// quota does not depend on this class.
class QuotaBalancer {
 public:
  QuotaBalancer(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  // Discards all deductions and shortages and starts again from the usage reported by the owners.
  void reset(const std::vector<wire::QuotaUse>& usage);
  // Returns how many of the job's tasks the partition's remaining share allows; infinite if the
  // quota is unlimited.
  double remaining_tasks(const model::JobSpec& spec, int partition);
  // Deducts the quota of `tasks` tasks of the job, which were routed to the partition, from its
  // share.
  void deduct(const model::JobSpec& spec, int partition, double tasks);
  // Records that no partition's share allows as many of the requested tasks as its machines have
  // capacity for. `fits` is indexed by partition. Only the first shortage of each team counts.
  void record_shortage(const model::JobSpec& spec, double requested_tasks,
                       const std::vector<PartitionFit>& fits);
  // Returns the transfers to request now: at most one for each team with a shortage recorded since
  // the last call, and with a minimum interval between two transfers of the same team.
  // `can_be_source` is indexed by partition and false where the owner cannot be reached.
  std::vector<wire::QuotaTransfer> decide_transfers(const std::vector<bool>& can_be_source);

 private:
  // A team's quota is unused in some partitions and missing in another.
  struct Shortage {
    int receiver = 0;                      // the partition that could use a larger share
    model::QuotaShare missing;             // what the receiver could use beyond its share
    std::vector<model::QuotaShare> spare;  // by partition: remaining and not usable by this work
  };
  // Returns the remaining share; computed on first access after reset().
  model::QuotaShare& remaining(const std::string& team, int partition);
  std::optional<int> best_receiver(const std::string& team, double requested_tasks,
                                   const std::vector<PartitionFit>& fits);
  std::optional<wire::QuotaTransfer> choose_transfer(const std::string& team,
                                                     const Shortage& shortage,
                                                     const std::vector<bool>& can_be_source);

  runtime::Context& context_;
  const store::Replica& replica_;
  std::map<TeamPartition, model::QuotaShare> remaining_;  // cache, see remaining()
  std::map<TeamPartition, model::QuotaShare> used_;       // as last reported by the owners
  std::map<std::string, Shortage> shortages_;             // by team; the first one recorded
  std::map<std::string, double> next_transfer_at_s_;      // by team; seconds of the steady clock
};

}  // namespace rooksill::quota
