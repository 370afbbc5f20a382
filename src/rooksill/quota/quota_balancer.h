// The leader's view of what is left of each team's limit, and which shares should move.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::quota {

// What one shard of work could use in each partition: tasks for which machines have room there, and
// of these as many as the partition's share of the team's limit still takes.
struct PartitionFit {
  double room = 0, within_share = 0;
};

// Where a partition has room on its machines and nothing left of a team's limit, while another has
// some left that it cannot use, the leader asks the other's owner for a transfer. The owner
// decides how much it can give (LimitTransfers); nothing here is relied on for the limit.
class QuotaBalancer {
 public:
  QuotaBalancer(runtime::Context& ctx, const store::Replica& replica)
      : ctx_(ctx), replica_(replica) {}

  // Forgets what was taken since, and starts again from what owners say.
  void refresh(const std::vector<wire::QuotaUse>& used);
  // What is left of a team's limit in a partition; infinite without a limit.
  model::QuotaShare left(const std::string& team, int partition);
  // Tasks that what is left there still takes.
  double tasks_left(const model::JobSpec& spec, int partition);
  // Work was routed to the partition, and will use that much of what is left.
  void take(const model::JobSpec& spec, int partition, double tasks);
  // Notes that fewer of the wanted tasks were within any partition's share than machines have room
  // for.
  void note(const model::JobSpec& spec, double wanted, const std::vector<PartitionFit>& fits);
  // Transfers to ask for now; `can_give` says whose owner can be asked.
  std::vector<wire::QuotaTransfer> decide(const std::vector<bool>& can_give);

 private:
  struct Shortage {
    int to = 0;
    model::QuotaShare missing;
    std::vector<model::QuotaShare> spare;  // by partition: left, and of no use to this work there
  };
  runtime::Context& ctx_;
  const store::Replica& replica_;
  std::map<std::pair<std::string, int>, model::QuotaShare> left_;
  std::map<std::pair<std::string, int>, model::QuotaShare> used_;
  std::map<std::string, Shortage> shortages_;  // by team; the first one noted
  std::map<std::string, double> next_;         // by team: when the next transfer may be asked for
};

}  // namespace rooksill::quota
