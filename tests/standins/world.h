// A simulated deployment: real cores, the stand-ins, a network that can be cut, users, and a
// checker of the protocol's rules that looks after every step.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rooksill/controller/controller.h"
#include "rooksill/settings/settings.h"
#include "standins/cloud.h"
#include "standins/effects_digest.h"
#include "standins/state_service.h"
#include "standins/worker.h"

namespace standins {

struct WorldOptions {
  int nodes = 3;
  double report_s = 1, lease_s = 8, cancel_s = 15;
  double gang_wait_s = 12, gang_peer_s = 2;
  double state_rps = 300, write_rps = 90;
  size_t txn_ops = 32, value_bytes = 8192;
  // The store's limits once it lowers them; 0: it does not.
  double next_write_rps = 0;
  size_t next_txn_ops = 0, next_value_bytes = 0;
  double cloud_rps = 5, list_lag_s = 3;
  uint64_t seed = 1;
  bool verbose = false;
  bool first_version = false;  // the controllers start with the version before upgrade records
};

struct UserJob {
  JobTruth truth;
  nlohmann::json body;
  std::string team;
  std::vector<std::string> types;
  std::string zone;
  bool spot = false, spread = false, together = false;
  bool accepted = false, rejected = false, gave_up = false;
  bool cancel_asked = false;
  double first_try = 0, told_cancelled = -1;
  std::string told;  // the last final state
  int status = 0;    // of the last answer to its submission
  double done_at = -1;
  double started_at = -1;   // its first task
  double answered_at = -1;  // last, with 200
  std::string job_class() const { return body.value("flock", ""); }
};

class World {
 public:
  explicit World(const WorldOptions& options);
  ~World();

  void add_type(const TypeSpec& type);
  void add_team(const std::string& name, double cpus, double cpus_max);
  void start();
  void at(double t, std::function<void()> f);
  void run_until(double t);

  void submit(UserJob job);
  void cancel(const std::string& id);
  void crash(int node, double down_s);
  // side: state, cloud, workers, peers, all
  void cut(int node, const std::string& side, double for_s, bool hold);
  void refuse(int node, double for_s);
  void freeze(int node, double for_s);  // stands still while its clocks run on
  void state_outage(double for_s);
  void cloud_outage(double for_s);
  void machine_cut(int count, double for_s, bool hold, const std::string& zone = "");
  // A zone with its machines and a controller, apart from everything but one another.
  void zone_cut(const std::string& zone, int node, double for_s, bool hold);
  void machine_deaf(int count, double for_s);  // reports arrive, answers and commands do not
  void late_copies(double chance, double late_s, double for_s);
  void machine_hang(int count, double for_s);
  void machine_fault(int count);
  void take_spot(double share, double termination_notice_s);
  void lose_answers(double chance, double for_s);
  void late_requests(double chance, double late_s, double for_s);
  // Transactions get no answer and are carried out later, after newer ones.
  void late_writes(double chance, double late_s, double for_s);
  // Commands to workers are held up, while their reports and the answers pass.
  void late_commands(double chance, double late_s, double for_s);
  void slow_state(double by_s, double for_s);  // each request takes up to so long
  // Machines that can open no connection to a controller, while commands reach them.
  void machine_mute(int count, double for_s, const std::string& zone = "");
  // Users call off so many running jobs at once; some of their machines hang so long.
  void cancel_now(int count, double hang_s);
  void cancel_at_end(double chance, double for_s);  // at the moment that a job's last task ends
  void odd_requests(double for_s);
  // The store lowers its limits to those announced.
  void lower_limits();
  // Ends and comes back with the present version; or with the one before.
  void upgrade(int node, double down_s);
  void downgrade(int node, double down_s);
  bool upgraded() const;  // the upgrade record is written

  int leader() const;
  double now() const { return now_; }
  UserJob* job(const std::string& id);
  int running(const std::string& id) const;
  int starts_after_cancel() const { return starts_after_cancel_; }
  int machines() const;
  uint64_t most_sessions() const;  // of a machine: each but the first began with a lease that ended
  int starts_of(const std::string& id) const;
  bool all_over() const;
  uint64_t peer_bytes() const { return peer_bytes_; }
  uint64_t effects_digest() const { return effects_digest_.value(); }
  int count_told(const std::string& what) const;
  const std::vector<std::string>& violations() const { return violations_; }
  void violate(const std::string& text);
  // What the users look at when a day is over.
  void check_end();
  std::mt19937_64& rng() { return rng_; }
  const WorldOptions& options() const { return options_; }
  std::map<std::string, UserJob>& jobs() { return jobs_; }
  StateService& state() { return state_; }
  Cloud& cloud() { return cloud_; }

 private:
  struct Node {
    std::string label;
    std::unique_ptr<rooksill::controller::Controller> core;
    std::vector<rooksill::runtime::Command> queue;
    uint64_t generation = 0;
    bool scheduled = false;
    bool refused = false;
    bool first_version = false;
    double frozen_until = 0;
    std::map<std::string, std::pair<double, bool>> cuts;  // side -> until, hold
    std::map<uint64_t, std::function<void(const rooksill::runtime::Reply&)>> pending;
    uint64_t next_request = 1;
  };
  struct Island {
    std::string zone;
    int node = -1;
    double until = 0;
  };
  struct Machine {
    std::unique_ptr<Worker> worker;
    double cut_until = 0, deaf_until = 0, mute_until = 0;
    bool hold = false;
  };

  void boot(int node);
  void deliver(int node, rooksill::runtime::Command c);
  void process(int node, uint64_t generation);
  void perform(int node);
  void send_to_peer(int node, const rooksill::runtime::PeerSend& message);
  rooksill::Settings settings_of(int node) const;
  void check_forms(const Node& from, const std::string& message);
  void call(int node, const rooksill::runtime::Call& c);
  void ask_state_as_first_version(const rooksill::runtime::Call& c,
                                  const std::function<void(const Answer&)>& back);
  void deliver_after_hang(const rooksill::runtime::Call& c, const std::string& name);
  void ask(int node, const std::string& method, const std::string& target, const std::string& body,
           double timeout_s,
           std::function<void(int status, const std::string& body, double retry)> f);
  bool cut_off(int node, const std::string& side, double& until, bool& hold) const;
  bool on_island(int node, const Machine& m) const;
  double latency();
  void step_machines();
  void send_report(Machine& m);
  void try_submit(const std::string& id);
  void try_cancel(const std::string& id);
  void poll(const std::string& id);
  void hear(UserJob& j, int status, const std::string& body, bool is_poll);
  int pick_node();
  void check_served(const std::string& what, const std::vector<const UserJob*>& jobs);
  void trouble(double for_s) { trouble_until_ = std::max(trouble_until_, now_ + for_s); }
  void check_places(const Worker& w, const TaskKey& key);
  bool can_run(const UserJob& j) const;  // whole, of a team, within its limit, and fits a machine
  void check_waiting();
  void odd_request();
  void set_for(double& trouble, double value, double for_s);
  void strike(int count, const std::function<bool(Machine&)>& one);
  void hang(Machine& m, double for_s);

  WorldOptions options_;
  std::mt19937_64 rng_;
  double now_ = 0;
  std::multimap<double, std::function<void()>> events_;
  rooksill::Settings base_;
  std::vector<rooksill::Settings> settings_;
  std::map<int, rooksill::Settings> started_settings_;  // of the processes that run
  StateService state_;
  Cloud cloud_;
  std::vector<Node> nodes_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, UserJob> jobs_;
  std::map<TaskKey, std::map<std::string, uint64_t>> on_;  // machines that a task is on
  std::set<TaskKey> completed_;
  std::map<std::pair<std::string, uint64_t>, GangAttempt> gangs_;  // by job and attempt
  std::map<TaskKey, double> saved_;
  std::map<std::string, int> starts_;
  std::map<std::string, std::pair<double, double>> teams_;
  std::vector<std::string> violations_;
  Island island_;
  uint64_t peer_bytes_ = 0;  // between controllers
  EffectsDigest effects_digest_;
  double copy_chance_ = 0, copy_s_ = 0;
  double trouble_until_ = 0;  // the last of the troubles so far ends then
  double lose_chance_ = 0, late_chance_ = 0, late_s_ = 0;
  double late_command_chance_ = 0, late_command_s_ = 0, late_write_chance_ = 0, late_write_s_ = 0,
         slow_s_ = 0, end_chance_ = 0, odd_until_ = 0;
  double next_waiting_check_ = 0;
  std::map<std::string, double> waits_since_;  // with room for it, after the troubles
  int starts_after_cancel_ = 0, odd_ = 0;
};

}  // namespace standins
