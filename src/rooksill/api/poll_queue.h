// Queue of polls of job statuses, which are checked against the store before they are answered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "rooksill/api/job_lookup.h"
#include "rooksill/api/responder.h"
#include "rooksill/api/transaction_pacer.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

// Answers polls such that a status reported to a user is never followed by an earlier one. Another
// controller may have reported an end that has not reached this replica, so the revision of a job
// that has not ended is compared with the store before the poll is answered. One transaction
// without writes checks many jobs.
class PollQueue {
 public:
  PollQueue(runtime::Context& context, const store::Replica& replica, store::Client& client,
            Responder& responder, JobLookup& lookup);

  // Replies with the job's status, at once if the job has ended. Otherwise queues the poll, or
  // replies 503 if the queue is full.
  void poll(uint64_t request, const std::string& id);
  // Sends the next check if it is due, and replies 503 to polls queued for more than kMaxQueueingS.
  void flush();
  // Returns the number of queued polls, without those being checked.
  size_t size() const { return polls_.size(); }

 private:
  struct Poll {
    uint64_t request = 0;
    std::string id;
    double queued_at = 0;  // steady seconds
  };

  void drop_expired();
  // Returns one precondition for each job of the group: its record has the replica's revision.
  std::vector<store::Precondition> revision_preconditions(const std::vector<Poll>& group) const;
  void handle_result(const std::vector<Poll>& group, const store::TransactionResult& result);
  void reply_group(const std::vector<Poll>& group, const std::set<std::string>& changed_keys);

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Client& client_;
  Responder& responder_;
  JobLookup& lookup_;
  TransactionPacer pacer_;
  std::deque<Poll> polls_;
};

}  // namespace rooksill::api
