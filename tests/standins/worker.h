// Stand-in for the worker agent of a machine, written from the protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "standins/cloud.h"
#include "standins/http_message.h"
#include "standins/workload.h"

namespace standins {

class Worker;

// What a worker shares with the rest of the deployment: the jobs' specifications, results and saved
// progress, and what a gang's tasks know of one another.
class WorkerEnvironment {
 public:
  virtual ~WorkerEnvironment() = default;
  // Null if there is no such job.
  virtual const Workload* find_workload(const std::string& job) const = 0;
  // The task is on the machine from now on; and no longer.
  virtual void task_started(const Worker& worker, const TaskKey& task, uint64_t attempt) = 0;
  virtual void task_ended(const Worker& worker, const TaskKey& task) = 0;
  // Whether the task's result is stored; and stores it.
  virtual bool is_completed(const TaskKey& task) const = 0;
  virtual void complete(const TaskKey& task) = 0;
  // Seconds of work that a new attempt need not repeat. Saving less than before changes nothing.
  virtual double saved_progress(const TaskKey& task) const = 0;
  virtual void save_progress(const TaskKey& task, double progress_s) = 0;
  virtual GangAttempt& gang_attempt(const TaskKey& task, uint64_t attempt) = 0;
};

// The protocol's times, in seconds.
struct WorkerTimes {
  double heartbeat_s = 1, lease_s = 8;
  double gang_wait_s = 20;  // how long a gang's task waits for the others
  double gang_peer_s = 2;   // within which a gang's tasks notice what happens to the others
};

// A worker acts on commands with its agent epoch and a fencing token that is not older than the
// newest it has seen. It ends all its tasks, and begins a new epoch, when its lease expires.
class Worker {
 public:
  // `environment` outlives the worker.
  Worker(const CloudMachine& machine, const TypeSpec& type, const WorkerTimes& times,
         WorkerEnvironment& environment);

  // Moves all tasks on to `now`; the lease may expire meanwhile. To be called before the others.
  void advance(double now);
  // The machine is gone, with all that is on it.
  void kill();

  bool should_send_heartbeat(double now) const;
  // The body of a heartbeat to the current controller, which is under way from now on.
  std::string make_heartbeat(double now);
  // `answer` has status 0 if none came. `sent_at` and `sent_epoch` are those of the heartbeat.
  void on_heartbeat_response(double now, const HttpResponse& response, double sent_at,
                           uint64_t sent_epoch);
  // A controller's command or inspection.
  HttpResponse handle_request(double now, const HttpRequest& request);

  double free_cpus() const;
  double free_memory_gb() const;
  double booted_at() const { return booted_at_; }

  const std::string name, address, type, zone;
  const bool spot;
  std::vector<std::string> controllers;  // labels
  size_t current_controller = 0;         // the one that heartbeats go to
  bool dead = false, hanging = false;
  bool faulty = false;               // every task fails
  std::optional<double> reclaim_at;  // the cloud has given notice for this time
  uint64_t agent_epoch = 1;

 private:
  enum class Phase { kFetching, kWaitingForGang, kRunning, kSaving, kExited };

  struct Task {
    TaskKey key;
    uint64_t attempt = 0;
    Phase phase = Phase::kFetching;
    std::string exit_cause;
    bool saved = false;      // its progress, when it was stopped
    double phase_since = 0;  // of kRunning and kSaving; of kFetching: since the command
    double progress = 0;     // seconds of work at phase_since
    // Holds the task's place in the rules: it runs, or could do so any moment.
    bool is_on_machine() const { return phase != Phase::kFetching && phase != Phase::kExited; }
  };

  static const char* wire_name(Phase phase);

  // Tasks.
  void advance_task(Task& task, const Workload& workload);
  void advance_array_task(Task& task, const Workload& workload);
  void advance_gang_task(Task& task, const Workload& workload);
  bool wait_for_gang(Task& task, const GangAttempt& gang);
  bool save_with_gang(Task& task, const Workload& workload, GangAttempt& gang);
  bool is_gang_broken(const Workload& workload, const GangAttempt& gang) const;
  void begin_after_fetch(Task& task, const Workload& workload);
  void join_gang(const Task& task, const Workload& workload);
  void leave_gang(const Task& task);
  void exit_task(Task& task, const std::string& cause);
  void end_all_tasks();

  // Commands.
  void execute_commands(double now, const nlohmann::json& commands);
  void execute_start(double now, const TaskKey& key, uint64_t attempt);
  std::string refusal_cause(const TaskKey& key) const;
  void execute_stop(Task& task, double grace_s);
  void stop_gang(const Task& task, bool can_save);
  std::vector<Task>::iterator find_task(const TaskKey& key, uint64_t attempt);

  std::string make_report(double now);
  void expire_lease(double now);
  void observe_fencing_token(uint64_t token);
  void change_controller(const HttpResponse& response, double now);

  TypeSpec spec_;
  WorkerTimes times_;
  WorkerEnvironment& environment_;
  std::vector<Task> tasks_;
  std::set<std::string> images_;  // fetched
  double now_ = 0;
  double booted_at_ = 0, lease_renewed_at_ = 0;  // 0: not yet
  uint64_t fencing_token_ = 0;                   // the newest seen
  double last_token_change_ = -1e9;
  uint64_t report_sequence_ = 0;
  bool has_unreported_changes_ = true;  // since the last heartbeat
  bool heartbeat_in_flight_ = false;
  double next_heartbeat_ = 0, next_heartbeat_allowed_ = 0;
};

}  // namespace standins
