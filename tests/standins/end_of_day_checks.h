// Checks at the end of a run whether users' jobs were served and the machine lists are consistent.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "standins/key_value_store.h"
#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"

namespace standins {

// Checks the accepted jobs without a request to cancel them. The text of a violation begins with:
//   forgotten  no response reported the status of a job for more than 75 s after the faults ended
//   unserved   fewer than half of the jobs of a class, of a team, or of the largest tenth of a
//              class, by number of tasks, started
//   late       a job in the largest tenth of a class did not start within four minutes
// Jobs submitted less than 45 s before the end, or before 45 s after the faults, are checked only
// for the first. Of the machine lists:
//   listed_twice  a machine is in more than one page of the partitions' lists
class EndOfDayChecks {
 public:
  EndOfDayChecks(Simulation& simulation, const UserJobs& jobs, const TaskLedger& ledger,
                 const KeyValueStore& store, size_t partitions)
      : simulation_(simulation),
        jobs_(jobs),
        ledger_(ledger),
        store_(store),
        partitions_(partitions) {}

  // Runs all checks. `faults_end` is when the last fault ended.
  void run(double faults_end);

 private:
  using JobList = std::vector<const UserJob*>;

  void check_machine_lists();
  void check_recent_response(const UserJob& job, double faults_end);
  // Checks that at least half of the jobs have started.
  void check_served(const std::string& group, const JobList& jobs);
  void check_class(const std::string& name, const JobList& jobs);
  void check_started_in_time(const UserJob& job, const std::string& job_class);

  Simulation& simulation_;
  const UserJobs& jobs_;
  const TaskLedger& ledger_;
  const KeyValueStore& store_;
  size_t partitions_;
};

}  // namespace standins
