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

// A cancellation is confirmed only once it is in the store. A job that was over before is answered
// with the end that it has.
class JobCanceller {
 public:
  JobCanceller(runtime::Context& context, const store::Replica& replica,
               store::Committer& committer, Responder& responder, JobLookup& lookup)
      : context_(context),
        replica_(replica),
        committer_(committer),
        responder_(responder),
        lookup_(lookup) {}

  void cancel(uint64_t request, const std::string& id) { try_cancel(request, id, 0); }

 private:
  // `conflicts`: how often the job's record had changed under this request.
  void try_cancel(uint64_t request, const std::string& id, int conflicts);
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
