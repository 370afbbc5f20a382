// Everything that can go wrong in a simulated deployment, each as one call.
#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>

#include "standins/cloud.h"
#include "standins/controller_cluster.h"
#include "standins/key_value_store.h"
#include "standins/machine_fleet.h"
#include "standins/message_router.h"
#include "standins/network.h"
#include "standins/unexpected_requests.h"
#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"
#include "standins/users.h"
#include "standins/world_options.h"

namespace standins {

// The parts that faults strike.
struct FaultTargets {
  Network& network;
  ControllerCluster& cluster;
  MessageRouter& router;
  KeyValueStore& store;
  Cloud& cloud;
  MachineFleet& fleet;
  const TaskLedger& ledger;
  const UserJobs& jobs;
  Users& users;
  UnexpectedRequests& unexpected_requests;
};

// Faults begin at once and end by themselves after `for_s` seconds. Counts of machines are those of
// machines that the fault does not strike already; by name, in ascending order.
class FaultInjector {
 public:
  FaultInjector(Simulation& simulation, const WorldOptions& options, const FaultTargets& targets)
      : simulation_(simulation), options_(options), targets_(targets) {}

  // Controllers.
  void crash(size_t controller, double downtime_s);
  void upgrade(size_t controller, double downtime_s);    // restarts with the present version
  void downgrade(size_t controller, double downtime_s);  // restarts with the first version
  void freeze(size_t controller, double duration_s);      // executes nothing while its clocks run on

  // The network.
  void cut(size_t controller, Link link, double duration_s, CutMode mode);
  void cut_machines(int count, double duration_s, CutMode mode, const std::string& zone = "");
  // Cuts a zone off with its machines and one controller, which reach only one another.
  void partition_zone(const std::string& zone, size_t controller, double duration_s, CutMode mode);
  // Machines whose heartbeats arrive, while answers and commands to them are lost.
  void lose_machine_inbound(int count, double duration_s);
  // Machines that cannot connect to a controller, while commands reach them.
  void lose_machine_outbound(int count, double duration_s, const std::string& zone = "");
  // Messages struck at random; see MessageFaults.
  void lose_responses(double probability, double duration_s);
  void delay_requests(double probability, double max_delay_s, double duration_s);
  void delay_transactions(double probability, double max_delay_s, double duration_s);
  void delay_commands(double probability, double max_delay_s, double duration_s);
  void duplicate_heartbeats(double probability, double max_delay_s, double duration_s);

  // The key-value store.
  void store_outage(double duration_s);
  void slow_store(double max_delay_s, double duration_s);
  void refuse_store_requests(size_t controller, double duration_s);
  void apply_announced_store_limits();  // to those announced, if any; for good

  // The cloud and its machines.
  void cloud_outage(double duration_s);
  void prevent_boots(int count);                        // so many of the next machines stay booting
  void set_capacity(int machines);                   // of every type in each zone
  void reclaim_spot(double share, double notice_s);  // at once if there is no notice
  void hang_machines(int count, double duration_s);
  void make_machines_faulty(int count);  // every task on them fails from now on

  // Users.
  // Cancels so many running jobs at about the same time. Some of their machines hang meanwhile.
  void cancel_running_jobs(int count, double hang_s);
  void cancel_on_completion(double probability, double duration_s);
  void send_unexpected_requests(double duration_s);

  // When the last fault so far ends. Faults that the deployment has to absorb without any delay
  // for users do not count: lost machines and what users do.
  double faults_end() const { return faults_end_; }

 private:
  void extend_faults_end(double duration_s);
  // Delays some of the messages for a while, each by up to `up_to_s` seconds.
  void delay_temporarily(RandomDelay& delay, double probability, double max_delay_s, double duration_s);
  // Sets the value, and back to 0 after `for_s`.
  void set_temporarily(double& value, double to, double duration_s);
  // Offers machines that are alive until so many were struck: `strike` says whether it did.
  void apply_to_machines(int count, const std::function<bool(Worker&)>& apply);
  std::set<std::string> machines_of_jobs(const std::vector<std::string>& jobs, size_t limit) const;

  Simulation& simulation_;
  const WorldOptions& options_;
  FaultTargets targets_;
  double faults_end_ = 0;
};

}  // namespace standins
