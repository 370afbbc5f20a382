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

constexpr double kRequestShare = 0.2;    // of this controller's requests to the store
constexpr double kMaxQueuedSeconds = 2;  // of the store's writes: no longer queue is kept
constexpr size_t kMaxTransactionBytes = size_t{48} * 1024;
constexpr size_t kBytesAroundValue = 200;  // of a transaction, for each value: key, guard and so on

// A tenth of the value is left for what the record gains later, such as the job's end.
bool fits_value(const model::Job& job, const PlatformSettings& platform) {
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
      pacer_(context.settings.platform, kRequestShare) {}

void SubmissionQueue::submit(const runtime::Request& request) {
  auto spec = wire::parse_job(request.body);
  if (!spec) return responder_.reply_error(request.id, 400, spec.error().message());
  // A retry of an accepted job is answered with its state, whatever else would be said of it.
  if (replica_.job(spec->id) != nullptr) return polls_.poll(request.id, spec->id);
  if (!replica_.synced || replica_.types.empty()) return responder_.reply_retry(request.id);
  if (const auto reason = reason_to_reject(*spec, context_.settings.platform, replica_))
    return reject(request.id, spec->id, *reason);
  // Controllers of the version before would start a gang's tasks one by one.
  if (spec->shape == model::Shape::kGang && !membership::Upgrade::complete(replica_))
    return responder_.reply_retry(request.id);
  enqueue(request.id, std::move(*spec));
}

// Replies 422 to a job that can never run. Another controller may have accepted a job with this id
// a moment ago that is not known here yet: a retry of that one is answered with its state, however
// this submission reads.
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
  submission.job.submitted = context_.now.wall;
  submission.job.spec = std::move(spec);
  submission.job.tasks_per_shard = replica_.tasks_per_shard();
  if (!fits_value(submission.job, platform))
    return responder_.reply_error(request, 400, "builds: too long");
  if (submissions_.size() >= static_cast<size_t>(platform.store_writes_per_s * kMaxQueuedSeconds))
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
        pacer_.finished();
        finish(submissions, result);
      });
  if (!sent) return;
  context_.count("creations", static_cast<double>(count));
  pacer_.sent(now);
  submissions_.erase(submissions_.begin(), submissions_.begin() + static_cast<long>(count));
}

void SubmissionQueue::drop_expired() {
  while (!submissions_.empty() &&
         context_.now.steady - submissions_.front().queued_at > kMaxQueueingS) {
    responder_.reply_retry(submissions_.front().request);
    submissions_.pop_front();
  }
}

// A group goes out at once; the limits decide how large it may be.
SubmissionQueue::Group SubmissionQueue::next_group() const {
  size_t max_size = std::min(context_.settings.platform.store_max_transaction_ops, submissions_.size());
  while (max_size > 1 && !client_.room_for(static_cast<double>(max_size), 0)) --max_size;
  Group group;
  std::set<std::string> ids;
  size_t bytes = 0;
  for (size_t i = 0; i < max_size; ++i) {
    const Submission& submission = submissions_[i];
    const std::string& id = submission.job.spec.id;
    if (!ids.insert(id).second) break;  // the same id twice: the second one waits
    auto value = wire::encode_job(submission.job);
    bytes += value.dump().size() + kBytesAroundValue;
    if (bytes > kMaxTransactionBytes && i > 0) break;
    group.preconditions.push_back({wire::job_key(id), model::kNoRevision});
    group.writes.push_back({wire::job_key(id), std::move(value), 0});
    group.submissions.push_back(submission);
  }
  return group;
}

void SubmissionQueue::finish(const std::vector<Submission>& group,
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

// Some ids exist already: those are answered with their state, the others are sent again.
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

// The outcome is unknown: the job may have been created. One that was not may be sent again, so its
// user is told to retry; 404 would end it.
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
