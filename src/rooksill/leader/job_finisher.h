// Records the completion of jobs that no partition owner has recorded.
#pragma once

#include <set>
#include <string>

#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::leader {

// Usually the partition owner whose transaction completes a job's last task also records that the
// job is done. If two owners complete the last tasks of a job concurrently, neither sees the
// other's transaction, and the leader records the completion.
class JobFinisher {
 public:
  JobFinisher(const store::Replica& replica, store::Committer& committer)
      : replica_(replica), committer_(committer) {}

  // Resets the state at the start of a term; transactions of an earlier term are no longer awaited.
  void start_term() { in_flight_.clear(); }
  // Records the completion of each open job whose tasks are all done.
  void finish_jobs();

 private:
  bool record_completion(const std::string& id);

  const store::Replica& replica_;
  store::Committer& committer_;
  std::set<std::string> in_flight_;  // jobs with a transaction or read-back in progress
};

}  // namespace rooksill::leader
