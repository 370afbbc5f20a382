// The leader's view of what is left of each team's quota, and which shares should move.
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

// What one shard of work could use in a partition, in tasks: those for which machines have room
// there, and of these as many as the partition's share of the team's quota still takes.
struct PartitionFit {
  double within_capacity = 0;
  double within_share = 0;
};

// Where a partition has room on its machines and nothing left of a team's quota, while another has
// some left that it cannot use, the leader asks the other's owner for a transfer. The owner
// decides how much it can give (QuotaTransfers); the quota is kept without anything from here.
class QuotaBalancer {
 public:
  QuotaBalancer(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  // Forgets what was deducted, and starts again from the use that owners report.
  void reset(const std::vector<wire::QuotaUse>& usage);
  // How many of a job's tasks the partition's share still takes; infinite without a quota.
  double remaining_tasks(const model::JobSpec& spec, int partition);
  // Work was routed to the partition and will use that much of its share.
  void deduct(const model::JobSpec& spec, int partition, double tasks);
  // Fewer of the wanted tasks are within any partition's share than machines have room for.
  // `fits`: by partition.
  void record_shortage(const model::JobSpec& spec, double requested_tasks,
                       const std::vector<PartitionFit>& fits);
  // Transfers to ask for now: at most one for each team that lacked quota since the last call, and
  // with a pause between two of one team. `can_give` says by partition whose owner can be asked.
  std::vector<wire::QuotaTransfer> decide_transfers(const std::vector<bool>& can_be_source);

 private:
  // A team's quota lies where it is of no use, and is missing elsewhere.
  struct Shortage {
    int receiver = 0;                      // the partition that could use more
    model::QuotaShare missing;             // what it could use beyond its share
    std::vector<model::QuotaShare> spare;  // by partition: left, and of no use to this work there
  };
  model::QuotaShare& remaining(const std::string& team, int partition);
  std::optional<int> best_receiver(const std::string& team, double requested_tasks,
                                   const std::vector<PartitionFit>& fits);
  std::optional<wire::QuotaTransfer> choose_transfer(const std::string& team,
                                                     const Shortage& shortage,
                                                     const std::vector<bool>& can_be_source);

  runtime::Context& context_;
  const store::Replica& replica_;
  std::map<TeamPartition, model::QuotaShare>
      remaining_;                                     // since the last refresh; made when asked for
  std::map<TeamPartition, model::QuotaShare> used_;   // as owners last reported
  std::map<std::string, Shortage> shortages_;         // by team; the first one noted
  std::map<std::string, double> next_transfer_at_s_;  // by team; seconds of the steady clock
};

}  // namespace rooksill::quota
