// Users' HTTP requests under /api/jobs: submissions, polls and cancellations.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "rooksill/api/job_canceller.h"
#include "rooksill/api/job_lookup.h"
#include "rooksill/api/poll_queue.h"
#include "rooksill/api/responder.h"
#include "rooksill/api/submission_queue.h"
#include "rooksill/runtime/commands.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

// Handles users' requests. Each one is answered exactly once, within about kMaxQueueingS plus the
// time of a call to the store.
class UserRequests {
 public:
  UserRequests(runtime::Context& context, store::Replica& replica, store::Client& client,
               store::Committer& committer);

  // Answers a request or queues it.
  void handle(const runtime::Request& request);
  // Sends queued submissions and polls to the store. Must be called after task state changes are
  // written, which have priority in the store's rate limit.
  void flush();

  // Returns the number of submissions waiting to be written.
  size_t queued_submission_count() const { return submissions_.size(); }
  // Returns the number of polls waiting to be checked.
  size_t queued_poll_count() const { return polls_.size(); }
  // Returns the ids of the jobs accepted since the last call.
  std::vector<std::string> consume_accepted() { return submissions_.consume_accepted(); }

 private:
  void handle_collection(const runtime::Request& request);
  void handle_job(const runtime::Request& request, std::string path);

  runtime::Context& context_;
  store::Client& client_;
  Responder responder_;
  JobLookup lookup_;
  PollQueue polls_;
  SubmissionQueue submissions_;
  JobCanceller canceller_;
};

}  // namespace rooksill::api
