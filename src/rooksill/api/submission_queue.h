// Submitted jobs that wait to be written to the store.
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

// A job is accepted with 201 only once its record is in the store, created under the precondition
// that its key did not exist. A submission with the id of an existing job is taken for a retry and
// answered with the job's state.
class SubmissionQueue {
 public:
  SubmissionQueue(runtime::Context& context, store::Replica& replica, store::Client& client,
                  store::Committer& committer, Responder& responder, JobLookup& lookup,
                  PollQueue& polls);

  // Validates a submission and queues it, or answers it at once.
  void submit(const runtime::Request& request);
  // Sends the next group if it is due, and answers what has waited too long with 503.
  void flush();
  size_t size() const { return submissions_.size(); }
  // The ids of jobs accepted since the last call.
  std::vector<std::string> consume_accepted() { return std::exchange(accepted_, {}); }

 private:
  struct Submission {
    uint64_t request = 0;
    model::Job job;
    double queued_at = 0;  // steady seconds
  };
  // Submissions that are written with one transaction.
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
