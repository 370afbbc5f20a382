// Transfers of a team's quota share from an owned partition to another partition.
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

// A transfer is a single store transaction, written by the owner of the source partition. It
// subtracts an amount from the source's share and adds it to the receiver's, so that the division
// in the store never exceeds the quota. Its preconditions are the revisions of the division that it
// was decided on and of the source partition's lease. The source treats the amount as transferred
// from the decision until the outcome is certain; the receiver can use it once it is in the store.
class QuotaTransfers {
 public:
  // Returns whether this process owns the partition under the lease with the given revision.
  using OwnsPartition = std::function<bool(int partition, model::Revision lease)>;

  QuotaTransfers(runtime::Context& context, const store::Replica& replica,
                 store::Committer& committer)
      : context_(context), replica_(replica), committer_(committer) {}

  // Starts a transfer of the requested amount, limited to `unused`, the unused part of the source's
  // share. Ignores a request that is invalid, based on a stale division, or made while another
  // transfer of the team is in progress.
  void start(const wire::QuotaTransfer& request, const model::QuotaShare& unused);
  // Resends transactions without a certain outcome and discards transfers that can no longer be
  // applied.
  void retry_transfers(const OwnsPartition& owns);
  // Returns the amount of the team's transfer out of the partition that is in progress; it may
  // already have been applied.
  model::QuotaShare outgoing(const std::string& team, int partition) const;

 private:
  enum class Progress {
    kReadyToSend,
    kSent,
    kReadingBack  // reading the precondition keys of a transaction that did not succeed
  };
  struct Transfer {
    int from = 0;
    int to = 0;
    model::QuotaShare amount;
    // Preconditions of the transaction.
    model::Revision division_revision = model::kNoRevision;
    model::Revision lease_revision = model::kNoRevision;
    Progress progress = Progress::kReadyToSend;
    // A copy of the transaction was sent without an answer and may still be executed. Never reset:
    // the answer to a later copy says nothing about the earlier one.
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
