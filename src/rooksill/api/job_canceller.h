// Cancels jobs on their users' request.
#pragma once

#include <cstdint>
#include <string>

#include "rooksill/api/job_lookup.h"
#include "rooksill/api/responder.h"
#include "rooksill/model/job.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

// Replies to a cancellation only after it is in the store. For a job that has already ended,
// replies with its final status.
class JobCanceller {
 public:
  JobCanceller(runtime::Context& context, const store::Replica& replica,
               store::Committer& committer, Responder& responder, JobLookup& lookup)
      : context_(context),
        replica_(replica),
        committer_(committer),
        responder_(responder),
        lookup_(lookup) {}

  // Cancels the job and replies with its status; replies 404 if there is no such job, and 503 if
  // the cancellation cannot be confirmed.
  void cancel(uint64_t request, const std::string& id) { try_cancel(request, id, 0); }

 private:
  // `conflicts`: how many earlier writes for this request failed because the job's record had
  // changed.
  void try_cancel(uint64_t request, const std::string& id, int conflicts);
  // Returns the write that replaces the job's record by a cancelled one.
  store::Write cancelled_record(const model::Job& job) const;
  void handle_result(uint64_t request, const std::string& id, int conflicts,
                     store::TransactionOutcome outcome);

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Committer& committer_;
  Responder& responder_;
  JobLookup& lookup_;
};

}  // namespace rooksill::api
