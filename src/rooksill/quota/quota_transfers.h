// Transfers of a team's limit from a partition held here to another partition.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::quota {

// One transaction, written by the owner of the partition that gives, takes an amount from one
// partition's share and adds it to another's, so that the state's division never exceeds the limit.
// It guards the division it was decided on and the giver's lease. From the decision until the
// outcome is certain the amount counts as gone for the giver; the receiver has it once it is in the
// state.
class QuotaTransfers {
 public:
  // Whether this process holds a partition under the lease with that revision.
  using OwnsPartition = std::function<bool(int partition, model::Revision lease)>;

  QuotaTransfers(runtime::Context& ctx, store::Replica& replica, store::Committer& committer)
      : ctx_(ctx), replica_(replica), committer_(committer) {}

  // Begins a transfer of at most what is unused of the giver's share. One at a time for each team.
  void start(const wire::QuotaTransfer& transfer, const model::QuotaShare& unused);
  // Sends again what has no certain outcome, and forgets what can no longer be carried out.
  void tick(const OwnsPartition& owns);
  // What is to leave the partition, and may have left it already.
  model::QuotaShare leaving(const std::string& team, int partition) const;

 private:
  struct Pending {
    int from = 0, to = 0;
    model::QuotaShare amount;
    model::Revision revision = model::kNoRevision;
    model::Revision lease = model::kNoRevision;  // that the transaction guards
    bool busy = false;                           // sent, or being read back
    bool uncertain = false;  // a transaction without an answer may yet be carried out
  };
  void send(const std::string& team, Pending& pending);
  void settle(const std::string& team, const store::TransactionResult& result);
  model::Revision revision_of(const std::string& team) const;

  runtime::Context& ctx_;
  store::Replica& replica_;
  store::Committer& committer_;
  std::map<std::string, Pending> pending_;  // by team
};

}  // namespace rooksill::quota
