#include "rooksill/api/job_canceller.h"

#include <utility>

#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::api {

namespace {
constexpr int kMaxConflicts = 3;
}  // namespace

void JobCanceller::attempt(uint64_t request, const std::string& id, int conflicts) {
  const model::Job* job = replica_.job(id);
  if (job == nullptr)
    return lookup_.read(request, id,
                        [this, request, id, conflicts] { attempt(request, id, conflicts); });
  if (job->over()) return responder_.reply_status(request, id);
  if (conflicts > kMaxConflicts) return responder_.reply_retry(request);
  const bool sent =
      committer_.commit({{wire::job_key(id), job->revision}}, {cancelled_record(*job)},
                        [this, request, id, conflicts](const store::TransactionResult& result) {
                          finish(request, id, conflicts, result.outcome);
                        });
  if (!sent) responder_.reply_retry(request);
}

store::Write JobCanceller::cancelled_record(const model::Job& job) const {
  model::Job ended;
  ended.spec = job.spec;
  ended.submitted = job.submitted;
  ended.tasks_per_shard = job.tasks_per_shard;
  ended.end = model::JobEnd::kCancelled;
  auto record = wire::encode_job(ended);
  // A record from before the store lowered its limits; its types are of no more use.
  if (record.dump().size() > context_.settings.platform.store_max_value_bytes) {
    ended.spec.types.clear();
    record = wire::encode_job(ended);
  }
  return {wire::job_key(job.spec.id), std::move(record), 0};
}

void JobCanceller::finish(uint64_t request, const std::string& id, int conflicts,
                          store::TransactionOutcome outcome) {
  switch (outcome) {
    case store::TransactionOutcome::kApplied:
      context_.debug("api", "job {} cancelled", id);
      return responder_.reply_status(request, id);
    case store::TransactionOutcome::kConflict:
      return lookup_.read(request, id,
                          [this, request, id, conflicts] { attempt(request, id, conflicts + 1); });
    case store::TransactionOutcome::kUnknown:
      return lookup_.read(request, id, [this, request, id] {
        if (replica_.job(id)->over())
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
