// Records the end of jobs that nobody else has recorded.
#pragma once

#include <set>
#include <string>

#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::leader {

// Usually the owner whose transaction completes a job's last task also records that the job is
// done. Two owners may complete the last tasks of a job at once, each without seeing the other's
// transaction; the leader then records the end.
class JobFinisher {
 public:
  JobFinisher(const store::Replica& replica, store::Committer& committer)
      : replica_(replica), committer_(committer) {}

  // A new term: transactions of the earlier one are not waited for.
  void start_term() { in_flight_.clear(); }
  // Writes the end of each open job whose tasks are all done.
  void finish_jobs();

 private:
  bool record_completion(const std::string& id);

  const store::Replica& replica_;
  store::Committer& committer_;
  std::set<std::string> in_flight_;  // jobs whose end was sent, or is being read back
};

}  // namespace rooksill::leader
