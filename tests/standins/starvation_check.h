// Checks that no job stays pending while there is capacity for it.
#pragma once

#include <map>
#include <string>

#include "standins/cloud.h"
#include "standins/machine_fleet.h"
#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"

namespace standins {

// After all faults have ended, no job may have pending tasks for more than 30 s while a suitable
// machine has capacity for one of them and the job's team is below its limit. The requirement of
// users is 90 s with heartbeats every few seconds; simulated heartbeats are sent every second.
// Gangs, jobs that require one zone and jobs whose tasks fail are not checked: capacity for one
// task does not suffice for them.
class StarvationCheck {
 public:
  StarvationCheck(Simulation& simulation, const UserJobs& jobs, const TeamQuotas& teams,
                  const TaskLedger& ledger, const MachineFleet& fleet)
      : simulation_(simulation), jobs_(jobs), teams_(teams), ledger_(ledger), fleet_(fleet) {}

  // Runs the check; call about once per second. `faults_end` is when the last fault known so far
  // ends.
  void check(double faults_end);

 private:
  // CPUs by team, and numbers of tasks on machines by job, and by job and zone.
  struct Usage {
    std::map<std::string, double> cpus_by_team;
    std::map<std::string, int> running_by_job;
    std::map<std::string, std::map<std::string, int>> tasks_by_job_and_zone;
  };

  // Returns what the tasks currently on machines use.
  Usage current_usage() const;
  // Returns whether the job has tasks that are neither done nor running, and its team's limit
  // allows to start one.
  bool has_startable_tasks(const UserJob& job, Usage& usage) const;
  // Returns whether the worker may run one more task of the job, which has `tasks_in_zone` in its
  // zone.
  bool has_capacity(const UserJob& job, const Worker& worker, int tasks_in_zone) const;
  // Returns whether any worker may run one more task of the job.
  bool any_machine_has_capacity(const UserJob& job, Usage& usage) const;

  Simulation& simulation_;
  const UserJobs& jobs_;
  const TeamQuotas& teams_;
  const TaskLedger& ledger_;
  const MachineFleet& fleet_;
  // When each job, by ID, began to have pending tasks that a machine has capacity for.
  std::map<std::string, double> pending_since_;
};

}  // namespace standins
