// Checks the rules of the protocol during a run, from what workers actually run and what
// controllers respond to users. It does not use the controllers' own records, so it finds faults in
// them.
#pragma once

#include <cstdint>
#include <string>

#include "standins/cloud.h"
#include "standins/http_message.h"
#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"

namespace standins {

// The text of a violation begins with the name of a rule:
//   ran_twice      two attempts of a task were on machines at the same time
//   wrong_place    a task ran on a machine that its job does not allow
//   quota          a team's running tasks exceeded its limit
//   ran_cancelled  a task was running, or started, later than allowed after a response had reported
//                  its job cancelled
//   not_done       a response reported a job done before all its tasks were
//   went_back      a final status changed, or a job was reported cancelled without a request to
//                  cancel it
//   forgotten      an accepted job was later reported as unknown or rejected
//   invented       a job was reported that no user submitted
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

  // Checks the response to a submission. `job` is its state before the response.
  void check_submit_response(const UserJob& job, const HttpResponse& response);
  // Checks a response that reports the status of `job`, which is in its state before the response.
  // Returns the reported final status, or kNone if there is none.
  Outcome check_status_response(const UserJob& job, const HttpResponse& response, bool is_poll);

  // Checks a task that is about to start, or has started.
  void before_task_start(const Worker& worker, const TaskKey& task, uint64_t attempt) override;
  void after_task_start(const Worker& worker, const TaskKey& task) override;

  // Checks that cancelled jobs have stopped in time. Call at every time step.
  void check_cancelled_jobs();

 private:
  // Returns whether a controller may accept the job: it has all required fields and a known team,
  // and fits the team's limit and some machine type.
  bool can_run(const UserJob& job) const;
  // Returns whether a task of the job can run on machines of the type.
  bool fits(const UserJob& job, const TypeSpec& type) const;
  // Checks that the job allows the worker's zone and type, and spot machines if it is one.
  void check_machine(const Worker& worker, const UserJob& job);
  // Checks that the job's tasks are spread over zones, or all in one zone, if it requires that.
  void check_zones(const UserJob& job);
  // Checks that no team uses more CPUs than its limit.
  void check_quotas();

  Simulation& simulation_;
  const UserJobs& jobs_;
  const TeamQuotas& teams_;
  const TaskLedger& ledger_;
  const Cloud& cloud_;
  double cancel_s_;
};

}  // namespace standins
