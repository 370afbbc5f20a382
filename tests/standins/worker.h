// Stand-in for a worker, written from the protocol.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "standins/cloud.h"

namespace standins {

struct JobTruth {  // what the user uploaded
  std::string id, image;
  int tasks = 1;
  bool service = false, fails = false, gang = false;
  double cpus = 1, memory_gb = 1, image_gb = 1, run_s = 10, checkpoint_s = 0, save_s = 0;
};

struct TaskKey {
  std::string job;
  int index = 0;
  auto operator<=>(const TaskKey&) const = default;
};

// What the tasks of one attempt of a gang share, wherever they are.
struct GangAttempt {
  std::set<int> ready;                // that have their image and are still there
  double started = -1;                // when the last one was ready
  double lost = -1;                   // when a task of the running gang disappeared
  double stopped = -1;                // when the first of them was told to stop
  double progress = 0;                // when it started; then when it was stopped
  std::set<int> told;                 // to stop, with time enough to save
  bool saved = false, hasty = false;  // one was told to stop with too little time
};

class Worker {
 public:
  struct Hooks {
    std::function<const JobTruth*(const std::string&)> job;
    // The task is on the machine from now on; and no longer.
    std::function<void(const Worker&, const TaskKey&, uint64_t attempt)> started;
    std::function<void(const Worker&, const TaskKey&)> ended;
    std::function<bool(const TaskKey&)> completed;  // its result is kept
    std::function<void(const TaskKey&)> complete;
    std::function<double(const TaskKey&)> saved;
    std::function<void(const TaskKey&, double)> save;
    // Of a gang's task: what its attempt's tasks do together.
    std::function<GangAttempt&(const TaskKey&, uint64_t attempt)> gang;
  };

  struct Times {
    double report_s = 1, lease_s = 8, gang_wait_s = 20, gang_peer_s = 2;
  };

  Worker(const CloudMachine& m, const TypeSpec& type, const Times& times, Hooks hooks);

  void advance(double now);  // tasks go on, the lease may end
  bool wants_to_report(double now) const;
  std::string make_report(double now, bool heartbeat);
  void on_answer(double now, int status, const std::string& body, double sent,
                 uint64_t agent_epoch);
  Answer handle(double now, const std::string& method, const std::string& path,
                const std::string& body);
  void kill();  // the machine is gone

  std::string name, address, type, zone;
  bool spot = false;
  std::vector<std::string> controllers;
  int at = 0;              // the controller it reports to
  bool in_flight = false;  // a report is under way
  bool dead = false, hanging = false, faulty = false;
  std::optional<double> taken_at;
  double next_report = 0, next_allowed = 0;
  uint64_t agent_epoch = 1, fencing_token = 0;
  double free_cpus() const;
  double free_memory() const;
  double booted_at() const { return leased_at_first_; }

 private:
  struct Task {
    TaskKey key;
    uint64_t attempt = 0;
    enum { kFetching, kWaitingForGang, kRunning, kSaving, kExited } phase = kFetching;
    std::string cause;
    bool saved = false;
    double since = 0, progress = 0;
  };
  void execute(double now, const nlohmann::json& commands);
  static bool is_on(const Task& t) {
    return t.phase != Task::kFetching && t.phase != Task::kExited;
  }
  void exit(Task& t, const std::string& cause);
  void leave_gang(const Task& t);
  void fetched(Task& t, const JobTruth& job);
  void advance_task(Task& t, const JobTruth& job);
  void advance_gang_task(Task& t, const JobTruth& job);
  void stop(Task& t, double mercy_s);
  void see_token(uint64_t t);
  void end_session(double now);

  TypeSpec spec_;
  Times times_;
  Hooks hooks_;
  std::vector<Task> tasks_;
  std::set<std::string> images_;
  uint64_t seq_ = 0;
  double leased_from_ = 0, leased_at_first_ = 0, last_token_change_ = -1e9;
  bool changed_ = true;
  double now_ = 0;
};

}  // namespace standins
