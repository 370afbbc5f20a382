#include "rooksill/api/poll_queue.h"

#include <algorithm>

#include "rooksill/model/job.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::api {

namespace {
// The fraction of this controller's share of the store's request rate that polls may use.
constexpr double kStoreRequestRatio = 0.15;
// Limits on the polls in one check and on the queued polls, per operation that the store allows in
// a transaction. Several polls of the same job need one operation.
constexpr size_t kMaxPollsPerTransactionOp = 4;
constexpr size_t kMaxQueuedPollsPerTransactionOp = 16;
}  // namespace

PollQueue::PollQueue(runtime::Context& context, const store::Replica& replica,
                     store::Client& client, Responder& responder, JobLookup& lookup)
    : context_(context),
      replica_(replica),
      client_(client),
      responder_(responder),
      lookup_(lookup),
      pacer_(context.settings.platform, kStoreRequestRatio) {}

void PollQueue::poll(uint64_t request, const std::string& id) {
  const model::Job* job = replica_.job(id);
  if (job == nullptr)
    return lookup_.read(request, id, [this, request, id] { responder_.reply_status(request, id); });
  if (job->over()) return responder_.reply_status(request, id);  // the end of a job is final
  if (polls_.size() >=
      context_.settings.platform.store_max_transaction_ops * kMaxQueuedPollsPerTransactionOp)
    return responder_.reply_retry(request);
  polls_.push_back({request, id, context_.now.steady});
}

void PollQueue::flush() {
  drop_expired();
  const double now = context_.now.steady;
  if (polls_.empty() || !pacer_.may_send(now)) return;
  const size_t count =
      std::min(polls_.size(),
               context_.settings.platform.store_max_transaction_ops * kMaxPollsPerTransactionOp);
  const std::vector<Poll> group(polls_.begin(), polls_.begin() + static_cast<long>(count));
  const bool sent = client_.transact(revision_preconditions(group), {},
                                     [this, group](const store::TransactionResult& result) {
                                       pacer_.record_finished();
                                       handle_result(group, result);
                                     });
  if (!sent) return;
  pacer_.record_sent(now);
  polls_.erase(polls_.begin(), polls_.begin() + static_cast<long>(count));
}

void PollQueue::drop_expired() {
  while (!polls_.empty() && context_.now.steady - polls_.front().queued_at > kMaxQueueingS) {
    responder_.reply_retry(polls_.front().request);
    polls_.pop_front();
  }
}

std::vector<store::Precondition> PollQueue::revision_preconditions(
    const std::vector<Poll>& group) const {
  std::vector<store::Precondition> preconditions;
  std::set<std::string> ids;
  for (const Poll& poll : group) {
    const model::Job* job = replica_.job(poll.id);
    if (job != nullptr && ids.insert(poll.id).second)
      preconditions.push_back({wire::job_key(poll.id), job->revision});
  }
  return preconditions;
}

void PollQueue::handle_result(const std::vector<Poll>& group,
                              const store::TransactionResult& result) {
  switch (result.outcome) {
    case store::TransactionOutcome::kApplied:
      return reply_group(group, {});
    case store::TransactionOutcome::kConflict:
      return reply_group(group, {result.conflicting_keys.begin(), result.conflicting_keys.end()});
    case store::TransactionOutcome::kRefused:
    case store::TransactionOutcome::kTooLarge:
    case store::TransactionOutcome::kUnknown:
    case store::TransactionOutcome::kLeaseExpired:
      for (const Poll& poll : group) responder_.reply_retry(poll.request);
      return;
  }
}

// Jobs that have changed in the store are read again before their polls are answered.
void PollQueue::reply_group(const std::vector<Poll>& group,
                            const std::set<std::string>& changed_keys) {
  for (const Poll& poll : group) {
    if (changed_keys.count(wire::job_key(poll.id)) == 0)
      responder_.reply_status(poll.request, poll.id);
    else
      lookup_.read(poll.request, poll.id,
                   [this, poll] { responder_.reply_status(poll.request, poll.id); });
  }
}

}  // namespace rooksill::api
