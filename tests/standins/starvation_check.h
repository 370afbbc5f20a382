// Checks that no job waits while there is room for it.
#pragma once

#include <map>
#include <string>

#include "standins/cloud.h"
#include "standins/machine_fleet.h"
#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"

namespace standins {

// Once all faults are over, no job may wait for half a minute while a machine that fits has room
// for one of its tasks and its team is under its limit. (Users allow 90 s with heartbeats every few
// seconds; here they come every second.) Gangs, jobs that need one zone and jobs that fail are left
// out: for them, room for one task is not enough.
class StarvationCheck {
 public:
  StarvationCheck(Simulation& simulation, const UserJobs& jobs, const TeamQuotas& teams,
                  const TaskLedger& ledger, const MachineFleet& fleet)
      : simulation_(simulation), jobs_(jobs), teams_(teams), ledger_(ledger), fleet_(fleet) {}

  // To be called about once a second. `faults_end` is when the last fault known so far ends.
  void check(double faults_end);

 private:
  struct Usage {
    std::map<std::string, double> cpus_by_team;
    std::map<std::string, int> running_by_job;
    std::map<std::string, std::map<std::string, int>> tasks_by_job_and_zone;
  };

  Usage current_usage() const;
  bool has_startable_tasks(const UserJob& job, Usage& usage) const;
  bool has_capacity(const UserJob& job, const Worker& worker, int tasks_in_zone) const;
  bool any_machine_has_capacity(const UserJob& job, Usage& usage) const;

  Simulation& simulation_;
  const UserJobs& jobs_;
  const TeamQuotas& teams_;
  const TaskLedger& ledger_;
  const MachineFleet& fleet_;
  std::map<std::string, double> pending_since_;  // jobs that wait though there is room
};

}  // namespace standins
