// What really happens to tasks: on which machines they are, what they have saved, what is done.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "standins/simulation.h"
#include "standins/user_job.h"
#include "standins/worker.h"
#include "standins/workload.h"

namespace standins {

// Is told what happens to tasks. No observer calls back into the ledger's changing methods.
class TaskObserver {
 public:
  virtual ~TaskObserver() = default;
  // The ledger has no record of this start yet.
  virtual void before_task_start(const Worker&, const TaskKey&, uint64_t /*attempt*/) {}
  virtual void after_task_start(const Worker&, const TaskKey&) {}
  virtual void on_job_done(const std::string& /*job*/) {}
};

// Machines that a task is on, and its attempt there. More than one breaks the protocol's rules.
using TaskMachines = std::map<std::string, uint64_t>;

// Filled by the workers alone, so that it can be held against what the controllers say.
class TaskLedger : public WorkerEnvironment {
 public:
  TaskLedger(Simulation& simulation, const UserJobs& jobs) : simulation_(simulation), jobs_(jobs) {}

  // Observers outlive the ledger and are told in the order in which they were added.
  void add_observer(TaskObserver& observer) { observers_.push_back(&observer); }

  const Workload* find_workload(const std::string& job) const override;
  void task_started(const Worker& worker, const TaskKey& task, uint64_t attempt) override;
  void task_ended(const Worker& worker, const TaskKey& task) override;
  bool is_completed(const TaskKey& task) const override { return completed_.count(task) != 0; }
  void complete(const TaskKey& task) override;
  double saved_progress(const TaskKey& task) const override;
  void save_progress(const TaskKey& task, double progress_s) override;
  GangAttempt& gang_attempt(const TaskKey& task, uint64_t attempt) override;

  // A gang has started when all its tasks run. Looks for those that have.
  void record_gang_starts();

  // Every task that was on a machine ever; no machines if it is on none now.
  const std::map<TaskKey, TaskMachines>& machines_by_task() const { return machines_by_task_; }
  const TaskMachines& machines_of(const TaskKey& task) const;
  int running_tasks(const std::string& job) const;
  int completed_tasks(const Workload& workload) const;
  int starts_of(const std::string& job) const;
  int starts_after_cancel() const { return starts_after_cancel_; }
  // -1 until then.
  double started_at(const std::string& job) const;
  double done_at(const std::string& job) const;

 private:
  struct GangKey {
    std::string job;
    uint64_t attempt = 0;
    auto operator<=>(const GangKey&) const = default;
  };
  struct JobRecord {
    double started_at = -1, done_at = -1;
    int starts = 0;  // of all its tasks
  };

  // The tasks of a gang share the progress of its first.
  TaskKey progress_key(const TaskKey& task) const;

  Simulation& simulation_;
  const UserJobs& jobs_;
  std::vector<TaskObserver*> observers_;
  std::map<TaskKey, TaskMachines> machines_by_task_;
  std::set<TaskKey> completed_;
  std::map<TaskKey, double> saved_progress_;
  std::map<GangKey, GangAttempt> gangs_;
  std::map<std::string, JobRecord> job_records_;
  int starts_after_cancel_ = 0;
};

}  // namespace standins
