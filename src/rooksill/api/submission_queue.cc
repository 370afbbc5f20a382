#include "rooksill/api/submission_queue.h"

#include <algorithm>
#include <optional>
#include <set>

#include "rooksill/api/job_validator.h"
#include "rooksill/membership/upgrade.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"
#include "rooksill/wire/user_codec.h"

namespace rooksill::api {

namespace {

// The fraction of this controller's share of the store's request rate that submissions may use.
constexpr double kStoreRequestRatio = 0.2;
// Limit on the queue, as the time to write it at the store's write rate.
constexpr double kMaxQueueLengthS = 2;
constexpr size_t kMaxTransactionBytes = size_t{48} * 1024;
constexpr size_t kPerValueOverheadBytes = 200;  // in a transaction: key, precondition and so on

// A tenth of the value limit is reserved for fields that the record gains later, such as the job's
// end.
bool fits_store_value(const model::Job& job, const PlatformSettings& platform) {
  return wire::encode_job(job).dump().size() <= platform.store_max_value_bytes * 9 / 10;
}

}  // namespace

SubmissionQueue::SubmissionQueue(runtime::Context& context, store::Replica& replica,
                                 store::Client& client, store::Committer& committer,
                                 Responder& responder, JobLookup& lookup, PollQueue& polls)
    : context_(context),
      replica_(replica),
      client_(client),
      committer_(committer),
      responder_(responder),
      lookup_(lookup),
      polls_(polls),
      pacer_(context.settings.platform, kStoreRequestRatio) {}

void SubmissionQueue::submit(const runtime::Request& request) {
  auto spec = wire::parse_job(request.body);
  if (!spec) return responder_.reply_error(request.id, 400, spec.error().message());
  // A retry of an accepted job is answered with its status, even if it would not be accepted now.
  if (replica_.job(spec->id) != nullptr) return polls_.poll(request.id, spec->id);
  if (!replica_.synced || replica_.types.empty()) return responder_.reply_retry(request.id);
  if (const auto reason = rejection_reason(*spec, context_.settings.platform, replica_))
    return reject(request.id, spec->id, *reason);
  // Controllers of the previous version would start a gang's tasks one by one.
  if (spec->shape == model::Shape::kGang && !membership::Upgrade::is_complete(replica_))
    return responder_.reply_retry(request.id);
  enqueue(request.id, std::move(*spec));
}

// Replies 422 to a job that can never run. Before that the store is read, as another controller may
// just have accepted a job with this id: then this submission is treated as a retry and answered
// with the job's status, whatever it contains.
void SubmissionQueue::reject(uint64_t request, const std::string& id, const std::string& reason) {
  lookup_.read(
      request, id, [this, request, id] { polls_.poll(request, id); },
      [this, request, reason] { responder_.reply_error(request, 422, reason); });
}

void SubmissionQueue::enqueue(uint64_t request, model::JobSpec spec) {
  const PlatformSettings& platform = context_.settings.platform;
  Submission submission;
  submission.request = request;
  submission.queued_at = context_.now.steady;
  submission.job.submitted_at = context_.now.wall;
  submission.job.spec = std::move(spec);
  submission.job.tasks_per_shard = replica_.tasks_per_shard();
  if (!fits_store_value(submission.job, platform))
    return responder_.reply_error(request, 400, "builds: too long");
  if (submissions_.size() >= static_cast<size_t>(platform.store_writes_per_s * kMaxQueueLengthS))
    return responder_.reply_retry(request);
  submissions_.push_back(std::move(submission));
}

void SubmissionQueue::flush() {
  drop_expired();
  const double now = context_.now.steady;
  if (submissions_.empty() || !pacer_.may_send(now)) return;
  Group group = next_group();
  const size_t count = group.submissions.size();
  const bool sent = committer_.commit(
      group.preconditions, std::move(group.writes),
      [this, submissions = std::move(group.submissions)](const store::TransactionResult& result) {
        pacer_.record_finished();
        handle_result(submissions, result);
      });
  if (!sent) return;
  context_.count("creations", static_cast<double>(count));
  pacer_.record_sent(now);
  submissions_.erase(submissions_.begin(), submissions_.begin() + static_cast<long>(count));
}

void SubmissionQueue::drop_expired() {
  while (!submissions_.empty() &&
         context_.now.steady - submissions_.front().queued_at > kMaxQueueingS) {
    responder_.reply_retry(submissions_.front().request);
    submissions_.pop_front();
  }
}

// Returns the largest group that the store's limits allow to be sent now.
SubmissionQueue::Group SubmissionQueue::next_group() const {
  size_t max_size =
      std::min(context_.settings.platform.store_max_transaction_ops, submissions_.size());
  while (max_size > 1 && !client_.has_capacity_for(static_cast<double>(max_size), 0)) --max_size;
  Group group;
  std::set<std::string> ids;
  size_t bytes = 0;
  for (size_t i = 0; i < max_size; ++i) {
    const Submission& submission = submissions_[i];
    const std::string& id = submission.job.spec.id;
    if (!ids.insert(id).second)
      break;  // a second submission of the same id is left for a later group
    auto value = wire::encode_job(submission.job);
    bytes += value.dump().size() + kPerValueOverheadBytes;
    if (bytes > kMaxTransactionBytes && i > 0) break;
    group.preconditions.push_back({wire::job_key(id), model::kNoRevision});
    group.writes.push_back({wire::job_key(id), std::move(value), 0});
    group.submissions.push_back(submission);
  }
  return group;
}

void SubmissionQueue::handle_result(const std::vector<Submission>& group,
                                    const store::TransactionResult& result) {
  switch (result.outcome) {
    case store::TransactionOutcome::kApplied:
      for (const Submission& submission : group) accept(submission);
      return;
    case store::TransactionOutcome::kConflict:
      return resolve_conflict(group, result.conflicting_keys);
    case store::TransactionOutcome::kRefused:
    case store::TransactionOutcome::kLeaseExpired:
    case store::TransactionOutcome::kTooLarge:
      for (const Submission& submission : group) responder_.reply_retry(submission.request);
      return;
    case store::TransactionOutcome::kUnknown:
      for (const Submission& submission : group) read_back(submission);
      return;
  }
}

void SubmissionQueue::accept(const Submission& submission) {
  const model::JobSpec& spec = submission.job.spec;
  accepted_.push_back(spec.id);
  context_.debug("api", "job {} accepted: class {} team {} tasks {}", spec.id, spec.job_class,
                 spec.team, spec.tasks);
  responder_.reply_accepted(submission.request, spec.id);
}

// Jobs whose ids exist already are answered with their status; the others are queued again.
void SubmissionQueue::resolve_conflict(const std::vector<Submission>& group,
                                       const std::vector<std::string>& failed_keys) {
  for (const Submission& submission : group) {
    const std::string& id = submission.job.spec.id;
    const bool exists =
        std::find(failed_keys.begin(), failed_keys.end(), wire::job_key(id)) != failed_keys.end();
    if (exists)
      polls_.poll(submission.request, id);
    else
      submissions_.push_front(submission);
  }
}

// Reads a job back after a transaction with an unknown outcome, which may have created it. If it
// was not created, the reply is 503, so that the user retries; after 404 the user would give up.
void SubmissionQueue::read_back(const Submission& submission) {
  const uint64_t request = submission.request;
  const std::string id = submission.job.spec.id;
  lookup_.read(
      request, id,
      [this, request, id] {
        accepted_.push_back(id);
        responder_.reply_status(request, id);
      },
      [this, request] { responder_.reply_retry(request); });
}

}  // namespace rooksill::api
