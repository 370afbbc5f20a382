// A simulated deployment: the production controller cores, connected to simulated workers, users,
// cloud, key-value store and network. Scenarios run against it.
#pragma once

#include <string>

#include "standins/cloud.h"
#include "standins/controller_cluster.h"
#include "standins/end_of_day_checks.h"
#include "standins/fault_injector.h"
#include "standins/key_value_store.h"
#include "standins/machine_fleet.h"
#include "standins/message_router.h"
#include "standins/network.h"
#include "standins/rule_checker.h"
#include "standins/simulation.h"
#include "standins/starvation_check.h"
#include "standins/task_ledger.h"
#include "standins/unexpected_requests.h"
#include "standins/user_job.h"
#include "standins/users.h"
#include "standins/world_options.h"

namespace standins {

// Owns all parts of the deployment and advances them together. A run is deterministic: the same
// options, calls and seed give the same sequence of random numbers and the same events.
//
// Usage: add machine types and teams, call start(), schedule faults and user actions through
// events(), call run_until() and check_end_of_day(), then read violations() and the store's
// violations().
class World {
 public:
  explicit World(const WorldOptions& options);

  // Adds a machine type that the cloud offers. Call before start().
  void add_type(const TypeSpec& type) { cloud_.types.push_back(type); }
  // Adds a team with its CPU quota. Call before start().
  void add_team(const std::string& name, const TeamQuota& quota) { teams_[name] = quota; }
  // Starts all controllers with settings made from the options, the types' zones and the teams.
  void start();
  // Advances the simulation to `time`, in seconds since the start of the run.
  void run_until(double time);
  // Runs the checks that apply once the run is over; see EndOfDayChecks.
  void check_end_of_day() { end_of_day_checks_.run(faults_.faults_end()); }

  // Returns the number of controllers.
  size_t controller_count() const { return options_.controllers; }
  // Returns the simulated time in seconds.
  double now() const { return simulation_.now(); }
  // Returns the violated rules, except those found by the key-value store.
  const std::vector<std::string>& violations() const { return simulation_.violations(); }
  // Returns all jobs that users have submitted, by ID.
  const UserJobs& jobs() const { return jobs_; }

  // Access to the parts, for scenario actions and expectations.
  Simulation& simulation() { return simulation_; }
  EventQueue& events() { return simulation_.events; }
  FaultInjector& faults() { return faults_; }
  Users& users() { return users_; }
  const ControllerCluster& cluster() const { return cluster_; }
  const KeyValueStore& store() const { return store_; }
  const MachineFleet& fleet() const { return fleet_; }
  const TaskLedger& ledger() const { return ledger_; }
  const MessageRouter& router() const { return router_; }

 private:
  // Advances the time-driven parts and runs the periodic checks; called after each time step.
  void step();

  const WorldOptions options_;
  Simulation simulation_;
  TeamQuotas teams_;
  UserJobs jobs_;
  Network network_;
  KeyValueStore store_;
  Cloud cloud_;
  ControllerCluster cluster_;
  TaskLedger ledger_;
  MachineFleet fleet_;
  MessageRouter router_;
  RuleChecker rules_;
  Users users_;
  UnexpectedRequests unexpected_requests_;
  FaultInjector faults_;
  StarvationCheck starvation_check_;
  EndOfDayChecks end_of_day_checks_;
  double next_starvation_check_ = 0;
};

}  // namespace standins
