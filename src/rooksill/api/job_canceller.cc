#include "rooksill/api/job_canceller.h"

#include <utility>

#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::api {

namespace {
constexpr int kMaxConflicts = 3;
}  // namespace

void JobCanceller::try_cancel(uint64_t request, const std::string& id, int conflicts) {
  const model::Job* job = replica_.job(id);
  if (job == nullptr)
    return lookup_.read(request, id,
                        [this, request, id, conflicts] { try_cancel(request, id, conflicts); });
  if (job->over()) return responder_.reply_status(request, id);
  if (conflicts > kMaxConflicts) return responder_.reply_retry(request);
  const bool sent =
      committer_.commit({{wire::job_key(id), job->revision}}, {cancelled_record(*job)},
                        [this, request, id, conflicts](const store::TransactionResult& result) {
                          handle_result(request, id, conflicts, result.outcome);
                        });
  if (!sent) responder_.reply_retry(request);
}

store::Write JobCanceller::cancelled_record(const model::Job& job) const {
  model::Job cancelled_job;
  cancelled_job.spec = job.spec;
  cancelled_job.submitted_at = job.submitted_at;
  cancelled_job.tasks_per_shard = job.tasks_per_shard;
  cancelled_job.end = model::JobEnd::kCancelled;
  auto record = wire::encode_job(cancelled_job);
  // Records from before the store lowered its limits can be too large. The allowed machine types
  // can be dropped, as they are not used after the job has ended.
  if (record.dump().size() > context_.settings.platform.store_max_value_bytes) {
    cancelled_job.spec.types.clear();
    record = wire::encode_job(cancelled_job);
  }
  return {wire::job_key(job.spec.id), std::move(record), 0};
}

void JobCanceller::handle_result(uint64_t request, const std::string& id, int conflicts,
                                 store::TransactionOutcome outcome) {
  switch (outcome) {
    case store::TransactionOutcome::kApplied:
      context_.debug("api", "job {} cancelled", id);
      return responder_.reply_status(request, id);
    case store::TransactionOutcome::kConflict:
      return lookup_.read(
          request, id, [this, request, id, conflicts] { try_cancel(request, id, conflicts + 1); });
    case store::TransactionOutcome::kUnknown:
      return lookup_.read(request, id, [this, request, id] {
        const model::Job* job = replica_.job(id);
        if (job != nullptr && job->over())
          responder_.reply_status(request, id);
        else
          responder_.reply_retry(request);
      });
    case store::TransactionOutcome::kRefused:
    case store::TransactionOutcome::kLeaseExpired:
    case store::TransactionOutcome::kTooLarge:
      return responder_.reply_retry(request);
  }
}

}  // namespace rooksill::api
