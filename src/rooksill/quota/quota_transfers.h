// Transfers of a team's quota from a partition owned here to another partition.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::quota {

// One transaction, written by the owner of the partition that gives, takes an amount from one
// partition's share and adds it to another's, so that the division in the store never exceeds the
// quota. Its preconditions are the division that it was decided on and the giver's lease. From the
// decision until the outcome is certain the amount counts as gone for the giver; the receiver has
// it once it is in the store.
class QuotaTransfers {
 public:
  // Whether this process owns a partition under the lease with that revision.
  using OwnsPartition = std::function<bool(int partition, model::Revision lease)>;

  QuotaTransfers(runtime::Context& context, const store::Replica& replica,
                 store::Committer& committer)
      : context_(context), replica_(replica), committer_(committer) {}

  // Begins a transfer of at most what is unused of the giver's share. One at a time for each team.
  void start(const wire::QuotaTransfer& request, const model::QuotaShare& unused);
  // Sends again what has no certain outcome, and forgets what can no longer be executed.
  void retry_transfers(const OwnsPartition& owns);
  // What is to leave the partition, and may have left it already.
  model::QuotaShare outgoing(const std::string& team, int partition) const;

 private:
  enum class Progress {
    kReadyToSend,
    kSent,
    kReadingBack  // the keys that a transaction without success had as preconditions
  };
  struct Transfer {
    int from = 0;
    int to = 0;
    model::QuotaShare amount;
    // Preconditions of the transaction.
    model::Revision division_revision = model::kNoRevision;
    model::Revision lease_revision = model::kNoRevision;
    Progress progress = Progress::kReadyToSend;
    // A copy of the transaction was sent and never answered, and may yet be executed. Stays set:
    // the answer to a later copy says nothing about it.
    bool has_unanswered_copy = false;
  };
  void send(const std::string& team, Transfer& transfer);
  std::vector<model::QuotaShare> division_after(const std::string& team,
                                                const Transfer& transfer) const;
  void on_result(const std::string& team, const store::TransactionResult& result);
  void read_back(const std::string& team, Transfer& transfer, std::vector<std::string> keys);

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Committer& committer_;
  std::map<std::string, Transfer> transfers_;  // by team
};

}  // namespace rooksill::quota
