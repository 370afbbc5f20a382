// Queue of submitted jobs that are to be written to the store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/api/job_lookup.h"
#include "rooksill/api/poll_queue.h"
#include "rooksill/api/responder.h"
#include "rooksill/api/transaction_pacer.h"
#include "rooksill/model/job.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

// Accepts a job with 201 only after its record is in the store, created under the precondition that
// its key did not exist. A submission with the id of an existing job is treated as a retry and
// answered with the job's status.
class SubmissionQueue {
 public:
  SubmissionQueue(runtime::Context& context, store::Replica& replica, store::Client& client,
                  store::Committer& committer, Responder& responder, JobLookup& lookup,
                  PollQueue& polls);

  // Validates a submission and queues it, or replies at once if it is a retry or cannot be
  // accepted.
  void submit(const runtime::Request& request);
  // Writes the next group of submissions if it is due, and replies 503 to those queued for more
  // than kMaxQueueingS.
  void flush();
  // Returns the number of queued submissions, without those being written.
  size_t size() const { return submissions_.size(); }
  // Returns the ids of the jobs accepted since the last call.
  std::vector<std::string> consume_accepted() { return std::exchange(accepted_, {}); }

 private:
  struct Submission {
    uint64_t request = 0;
    model::Job job;
    double queued_at = 0;  // steady seconds
  };
  // Submissions that are written in one transaction.
  struct Group {
    std::vector<Submission> submissions;
    std::vector<store::Precondition> preconditions;
    std::vector<store::Write> writes;
  };

  void reject(uint64_t request, const std::string& id, const std::string& reason);
  void enqueue(uint64_t request, model::JobSpec spec);
  void drop_expired();
  Group next_group() const;
  void handle_result(const std::vector<Submission>& group, const store::TransactionResult& result);
  void accept(const Submission& submission);
  void resolve_conflict(const std::vector<Submission>& group,
                        const std::vector<std::string>& failed_keys);
  void read_back(const Submission& submission);

  runtime::Context& context_;
  store::Replica& replica_;
  store::Client& client_;
  store::Committer& committer_;
  Responder& responder_;
  JobLookup& lookup_;
  PollQueue& polls_;
  TransactionPacer pacer_;
  std::deque<Submission> submissions_;
  std::vector<std::string> accepted_;
};

}  // namespace rooksill::api
