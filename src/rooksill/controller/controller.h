// The deterministic core of a controller: takes commands and the current time, produces effects,
// and performs no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rooksill/api/user_requests.h"
#include "rooksill/controller/heartbeat_sender.h"
#include "rooksill/controller/load_log.h"
#include "rooksill/controller/machine_status_publisher.h"
#include "rooksill/fleet/fleet.h"
#include "rooksill/leader/leader.h"
#include "rooksill/leader/machine_status_table.h"
#include "rooksill/membership/cancellations.h"
#include "rooksill/membership/peers.h"
#include "rooksill/membership/upgrade.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/commands.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/effects.h"
#include "rooksill/runtime/interval_timer.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/store/replica_sync.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::controller {

// Owns the components of a controller and runs them in a fixed order. Each component keeps its own
// state; they share the cluster state through the replica of the store.
class Controller {
 public:
  // Creates a controller that has not contacted the store yet. `seed` initializes the random number
  // generator. `start_wall_time_s` is the start time in seconds since the Unix epoch and becomes
  // part of the incarnation. `debug_log` enables debug log lines. Keeps a reference to `settings`,
  // which must outlive the controller.
  Controller(const Settings& settings, uint64_t seed, double start_wall_time_s, bool debug_log);

  // Processes a batch of commands at time `now` and adds the resulting I/O requests to effects().
  // Must be called at least every kTickIntervalS seconds, if necessary with only a runtime::Tick.
  void run(const std::vector<runtime::Command>& batch, runtime::Time now);
  // Returns the effects of the last batch. The caller executes and clears them before the next
  // batch.
  runtime::Effects& effects() { return context_.effects(); }

  // Maximum time between two batches.
  static constexpr double kTickIntervalS = 0.05;

  // Returns whether load balancers should route users to this controller: its replica is loaded,
  // the machine types are known, and no ready peer has clearly better access to the store.
  bool is_ready() const;
  // Returns whether this controller is the leader.
  bool is_leading() const { return leader_.is_leading(); }
  // Returns the local copy of the store's contents.
  const store::Replica& replica() const { return replica_; }

 private:
  // Command handling.
  void detect_pause(runtime::Time now);
  void handle_commands(const std::vector<runtime::Command>& batch);
  void handle_request(const runtime::Request& request);
  void reply_readiness(const runtime::Request& request);
  void handle_peer_disconnect(const runtime::PeerDisconnected& disconnect);
  void handle_peer_message(const runtime::PeerMessage& message);
  // Unpacks the envelope's payload and calls handle_message() with the sender's label. Drops
  // malformed messages.
  template <typename Message>
  void unpack_and_handle(const wire::Envelope& envelope);
  void handle_message(const std::string& sender, wire::ControllerHeartbeat heartbeat);
  void handle_message(const std::string& sender, wire::MachineStatusUpdate update);
  void handle_message(const std::string& sender, const wire::StoreUpdates& updates);
  void handle_message(const std::string& sender, const wire::CancelledJobs& cancelled);
  void handle_message(const std::string& sender, const wire::RoutingUpdate& routing);
  void handle_message(const std::string& sender, const wire::UnassignedMachine& machine);
  void handle_message(const std::string& sender, const wire::LeaseRenewalRequest& request);

  // Steps of a batch that follow command handling.
  void forward_unassigned_machine();
  void request_lease_renewals();
  void run_timed_steps();
  void run_leader_steps();
  void route_accepted_jobs();
  void process_replica_changes();
  void broadcast_updates();

  bool has_better_connected_peer() const;

  runtime::Context context_;
  store::Replica replica_;
  store::Client client_;
  store::Committer committer_;
  store::ReplicaSync replica_sync_;
  membership::Peers peers_;
  membership::Upgrade upgrade_;
  membership::Cancellations cancellations_;
  partition::PartitionOwner owner_;
  fleet::Fleet fleet_;
  leader::Leader leader_;
  leader::MachineStatusTable machine_statuses_;
  api::UserRequests user_requests_;
  HeartbeatSender heartbeat_sender_;
  MachineStatusPublisher status_publisher_;
  LoadLog load_log_;
  runtime::IntervalTimer timeout_check_timer_, heartbeat_timer_, leader_timer_, store_status_timer_;
};

}  // namespace rooksill::controller
