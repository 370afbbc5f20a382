// The checks that users make when a day is over.
#pragma once

#include <string>
#include <vector>

#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"

namespace standins {

// Looks at the accepted jobs that are not cancelled:
//   forgotten  nothing was answered about a job within 75 s after the faults
//   unserved   fewer than half of a class, of a team, or of the largest tenth of a class started
//   late       one of the largest tenth of a class did not start within four minutes
// Jobs of the last 45 s count only for the first.
class EndOfDayChecks {
 public:
  EndOfDayChecks(Simulation& simulation, const UserJobs& jobs, const TaskLedger& ledger)
      : simulation_(simulation), jobs_(jobs), ledger_(ledger) {}

  // `faults_end` is when the last fault ended.
  void run(double faults_end);

 private:
  using JobList = std::vector<const UserJob*>;

  void check_recent_response(const UserJob& job, double faults_end);
  void check_served(const std::string& group, const JobList& jobs);
  void check_class(const std::string& name, const JobList& jobs);
  void check_started_in_time(const UserJob& job, const std::string& job_class);

  Simulation& simulation_;
  const UserJobs& jobs_;
  const TaskLedger& ledger_;
};

}  // namespace standins
