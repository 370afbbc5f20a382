// Checks the protocol's rules at every step, against what workers really do and what users are
// told. Knows nothing of the controllers' own records.
#pragma once

#include <cstdint>
#include <string>

#include "standins/cloud.h"
#include "standins/http_message.h"
#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"

namespace standins {

// Violations begin with a rule's name:
//   ran_twice      two attempts of a task are on machines at the same time
//   wrong_place    a task is on a machine that its job does not allow
//   quota          a team's running tasks exceed its limit
//   ran_cancelled  a task still runs, or starts, too long after a user was told `cancelled`
//   not_done       a user was told `done` before all tasks were
//   went_back      a final status changed, or a job is `cancelled` that nobody cancelled
//   forgotten      an accepted job is unknown or rejected later
//   invented       a job is known that nobody submitted
class RuleChecker : public TaskObserver {
 public:
  RuleChecker(Simulation& simulation, const UserJobs& jobs, const TeamQuotas& teams,
              const TaskLedger& ledger, const Cloud& cloud, double cancel_s)
      : simulation_(simulation),
        jobs_(jobs),
        teams_(teams),
        ledger_(ledger),
        cloud_(cloud),
        cancel_s_(cancel_s) {}

  // Answers to users. `job` is as it was before the answer.
  void check_submit_response(const UserJob& job, const HttpResponse& response);
  // Returns the final status that the answer tells, kNone if it tells none.
  Outcome check_status_response(const UserJob& job, const HttpResponse& response, bool is_poll);

  // Tasks, as they start.
  void before_task_start(const Worker& worker, const TaskKey& task, uint64_t attempt) override;
  void after_task_start(const Worker& worker, const TaskKey& task) override;

  // To be called at every step.
  void check_cancelled_jobs();

 private:
  // Has every field, belongs to a team, is within its limit and fits a machine.
  bool can_run(const UserJob& job) const;
  bool fits(const UserJob& job, const TypeSpec& type) const;
  void check_machine(const Worker& worker, const UserJob& job);
  void check_zones(const UserJob& job);
  void check_quotas();

  Simulation& simulation_;
  const UserJobs& jobs_;
  const TeamQuotas& teams_;
  const TaskLedger& ledger_;
  const Cloud& cloud_;
  double cancel_s_;
};

}  // namespace standins
