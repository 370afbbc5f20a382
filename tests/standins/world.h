// A simulated deployment: real controller cores against stand-ins for all that surrounds them.
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
#include "standins/unexpected_requests.h"
#include "standins/rule_checker.h"
#include "standins/simulation.h"
#include "standins/starvation_check.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"
#include "standins/users.h"
#include "standins/world_options.h"

namespace standins {

// Composes the parts and advances them together. The same options, calls and seed give the same
// run, draw by draw.
//
// Usage: add types and teams, start(), schedule what is to happen with events(), run_until(),
// check_end_of_day(), then look at violations() and those of the store.
class World {
 public:
  explicit World(const WorldOptions& options);

  void add_type(const TypeSpec& type) { cloud_.types.push_back(type); }
  void add_team(const std::string& name, const TeamQuota& quota) { teams_[name] = quota; }
  void start();
  void run_until(double time);
  void check_end_of_day() { end_of_day_checks_.run(faults_.faults_end()); }

  size_t controller_count() const { return options_.controllers; }
  double now() const { return simulation_.now(); }
  const std::vector<std::string>& violations() const { return simulation_.violations(); }
  const UserJobs& jobs() const { return jobs_; }

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
