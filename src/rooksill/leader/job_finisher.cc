#include "rooksill/leader/job_finisher.h"

#include "rooksill/model/job.h"
#include "rooksill/store/client.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::leader {

void JobFinisher::finish_jobs() {
  for (const auto& id : replica_.finished_jobs) {
    if (in_flight_.count(id) != 0) continue;
    if (record_completion(id)) in_flight_.insert(id);
  }
}

bool JobFinisher::record_completion(const std::string& id) {
  const model::Job* job = replica_.job(id);
  if (job == nullptr) return false;
  model::Job completed;
  completed.spec.tasks = job->spec.tasks;
  completed.end = model::JobEnd::kDone;
  const std::string key = wire::job_key(id);
  return committer_.commit({{key, job->revision}}, {{key, wire::encode_job(completed), 0}},
                           [this, id, key](const store::TransactionResult& result) {
                             const bool is_outcome_known =
                                 result.outcome == store::TransactionOutcome::kApplied ||
                                 result.outcome == store::TransactionOutcome::kRefused;
                             if (is_outcome_known) {
                               in_flight_.erase(id);
                               return;
                             }
                             committer_.refresh({key}, [this, id] { in_flight_.erase(id); });
                           });
}

}  // namespace rooksill::leader
