// Polls of jobs' states that wait to be checked against the store.
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

// A state told to a user never goes back. Another controller may have told of an end that has not
// reached this replica, so the revision of a job that is not over is compared with the store before
// the poll is answered: many jobs in one transaction without writes.
class PollQueue {
 public:
  PollQueue(runtime::Context& context, const store::Replica& replica, store::Client& client,
            Responder& responder, JobLookup& lookup);

  void poll(uint64_t request, const std::string& id);
  // Sends the next check if it is due, and answers what has waited too long with 503.
  void flush();
  size_t size() const { return polls_.size(); }

 private:
  struct Poll {
    uint64_t request = 0;
    std::string id;
    double queued_at = 0;  // steady seconds
  };

  void drop_expired();
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
