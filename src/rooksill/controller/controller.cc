#include "rooksill/controller/controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"

namespace rooksill::controller {

namespace {

constexpr const char* kReportTarget = "/agent/beat";
constexpr const char* kReadyTarget = "/ready";

constexpr double kLeaderIntervalS = 0.1;
// In tick intervals. Timeouts are checked on every tick; a value below 1 keeps rounding errors in
// the clock readings from skipping a tick.
constexpr double kTimeoutCheckTicks = 0.9;

// Number of times per worker report interval (report_s).
constexpr double kHeartbeatsPerReport = 10;
constexpr double kStoreStatusesPerReport = 4;

// In worker report intervals (report_s).
// How much later than this controller's last response from the store a peer must have received one
// to count as better connected.
constexpr double kMinResponseLagReports = 0.2;
// A longer gap between two batches means that the process was paused.
constexpr double kPauseThresholdReports = 0.3;

// An incarnation is the start time in milliseconds, shifted left by this many random bits.
constexpr int kIncarnationRandomBits = 12;

uint64_t incarnation_at(double wall_time_s, uint64_t random_bits) {
  const auto milliseconds = static_cast<uint64_t>(wall_time_s * 1000);
  const uint64_t mask = (uint64_t{1} << kIncarnationRandomBits) - 1;
  return milliseconds << kIncarnationRandomBits | (random_bits & mask);
}

// Returns a function that calls the key-value store by queueing an HTTP call as an effect.
store::CallFn call_store_through(runtime::Context& context) {
  return [&context](std::string method, std::string path, std::string body, double timeout_s,
                    runtime::CallHandler handler) {
    context.call(runtime::Target::kStore, context.settings.platform.store_address,
                 std::move(method), std::move(path), std::move(body), timeout_s,
                 std::move(handler));
  };
}

bool is_user_request(const runtime::Request& request) {
  return request.target != kReportTarget && request.target != kReadyTarget;
}

}  // namespace

Controller::Controller(const Settings& settings, uint64_t seed, double start_wall_time_s,
                       bool debug_log)
    : context_(settings, seed),
      replica_(settings.platform),
      client_(settings.platform, call_store_through(context_)),
      committer_(context_, replica_, client_),
      replica_sync_(context_, replica_, client_),
      peers_(context_),
      upgrade_(context_, replica_, committer_, peers_),
      cancellations_(context_, replica_, peers_),
      owner_(context_, replica_, client_, committer_, cancellations_),
      fleet_(context_, replica_, committer_),
      leader_(context_, replica_, client_, committer_, peers_, owner_, fleet_),
      machine_statuses_(context_, replica_, peers_),
      user_requests_(context_, replica_, client_, committer_),
      heartbeat_sender_(context_, replica_, client_, committer_, peers_, cancellations_, owner_,
                        leader_),
      status_publisher_(context_, replica_, peers_, owner_, machine_statuses_),
      load_log_(context_, replica_, owner_, user_requests_) {
  context_.enable_debug_log(debug_log);
  // Increases with every restart of this controller, unless the wall clock was set back in between.
  context_.incarnation = incarnation_at(start_wall_time_s, context_.rng());
}

// ---- Steps of a batch -----------------------------------------------------------------------

// The order is part of the protocol:
//  - Commands are handled first, so that every decision uses all available information.
//  - Timed steps begin with cancellations: new ones are numbered and forwarded before any other
//    message is sent to peers or users.
//  - Jobs are routed before tasks are placed, so that a new job is placed in the same batch.
//  - Task state changes are written before submissions and polls, which use the remainder of the
//    store's rate limit.
//  - Updates are broadcast last, because every step may add some.
void Controller::run(const std::vector<runtime::Command>& batch, runtime::Time now) {
  detect_pause(now);
  context_.now = now;
  handle_commands(batch);
  forward_unassigned_machine();
  run_timed_steps();
  route_accepted_jobs();
  process_replica_changes();
  owner_.transfer_quotas();
  owner_.run_placement_pass();
  owner_.flush_changes();
  owner_.send_commands();
  user_requests_.flush();
  broadcast_updates();
}

// Detects that the process was suspended while its clocks advanced. In the meantime other
// controllers may have taken over its partition leases, and jobs may have been cancelled. Until the
// store has answered a request sent after the pause, no task is started on the basis of earlier
// decisions.
void Controller::detect_pause(runtime::Time now) {
  const double previous = context_.now.steady;
  const double pause_s = now.steady - previous;
  const bool first_batch = previous <= 0;
  if (first_batch || pause_s < kPauseThresholdReports * context_.settings.platform.report_s) return;
  context_.resumed_at = now.steady;
  peers_.extend_timeouts(pause_s);
  context_.info("core",
                "process was paused for {:.1f} s; no task starts until the store has answered",
                pause_s);
}

// Handles call results, worker reports and peer messages in order of arrival, then user requests,
// so that the replies reflect everything received in this batch.
void Controller::handle_commands(const std::vector<runtime::Command>& batch) {
  std::vector<const runtime::Request*> user_requests;
  for (const runtime::Command& command : batch) {
    if (const auto* call_done = std::get_if<runtime::CallDone>(&command)) {
      context_.finish_call(*call_done);
    } else if (const auto* request = std::get_if<runtime::Request>(&command)) {
      if (is_user_request(*request))
        user_requests.push_back(request);
      else
        handle_request(*request);
    } else if (const auto* message = std::get_if<runtime::PeerMessage>(&command)) {
      handle_peer_message(*message);
    } else if (const auto* disconnect = std::get_if<runtime::PeerDisconnected>(&command)) {
      handle_peer_disconnect(*disconnect);
    }
  }
  for (const runtime::Request* request : user_requests) handle_request(*request);
}

// Forwards a machine that has reported without belonging to a partition to the leader, which
// assigns it to one.
void Controller::forward_unassigned_machine() {
  const auto machine = owner_.extract_unassigned_machine();
  if (!machine) return;
  const std::string& leader = replica_.leader.label;
  if (leader_.is_leading())
    fleet_.on_unassigned_machine(*machine);
  else if (!leader.empty())
    peers_.send(leader, wire::PeerMessageKind::kUnassignedMachine, wire::pack(*machine));
}

// Asks the leader for new leases. Controllers of the version before upgrade records do not know the
// request.
void Controller::request_lease_renewals() {
  if (!membership::Upgrade::is_complete(replica_)) return;
  const std::string& leader = replica_.leader.label;
  for (const wire::LeaseRenewalRequest& request : owner_.lease_renewal_requests()) {
    context_.count("lease_renewal_requests");
    if (leader_.is_leading())
      leader_.renew_lease(leader, request);
    else if (!leader.empty())
      peers_.send(leader, wire::PeerMessageKind::kLeaseRenewal, wire::pack(request));
  }
}

void Controller::run_timed_steps() {
  const double now = context_.now.steady;
  cancellations_.collect();
  cancellations_.send_updates();
  load_log_.tick();
  client_.tick(now, peers_.live_controller_count());
  peers_.read_liveness_records(replica_);
  heartbeat_sender_.write_liveness_record();
  replica_sync_.tick();
  committer_.tick();
  upgrade_.tick(leader_.is_leading());
  if (membership::Upgrade::is_complete(replica_))
    peers_.set_envelope_version(model::kPresentVersion);
  owner_.update_ownership();
  if (timeout_check_timer_.fire(now, kTickIntervalS * kTimeoutCheckTicks)) owner_.check_timeouts();
  if (heartbeat_timer_.fire(now, context_.settings.platform.report_s / kHeartbeatsPerReport)) {
    heartbeat_sender_.send_heartbeat();
    status_publisher_.publish();
    request_lease_renewals();
  }
  if (leader_timer_.fire(now, kLeaderIntervalS)) run_leader_steps();
}

// Runs on every controller: followers keep their statistics current so that they can take over
// leadership immediately.
void Controller::run_leader_steps() {
  const double store_status_interval_s =
      context_.settings.platform.report_s / kStoreStatusesPerReport;
  machine_statuses_.remove_stale();
  if (leader_.is_leading() &&
      store_status_timer_.fire(context_.now.steady, store_status_interval_s))
    machine_statuses_.derive_from_store();
  fleet_.sample_demand();
  leader_.tick(machine_statuses_.statuses());
  for (const auto& [machine, address] : fleet_.extract_addresses())
    owner_.record_address(machine, address);
}

// Without a leader, routes new jobs to the partitions of the controller that accepted them.
void Controller::route_accepted_jobs() {
  const std::vector<std::string> accepted = user_requests_.consume_accepted();
  if (!leader_.is_leader_unreachable()) return;
  owner_.route_without_leader();
  for (const std::string& id : accepted) {
    const model::Job* job = replica_.job(id);
    if (job == nullptr) continue;
    for (uint32_t shard = 0; shard < job->shards.size(); ++shard)
      owner_.add_routed_shard({id, shard});
  }
}

// Notifies the other components of replica changes made by this batch.
void Controller::process_replica_changes() {
  if (!replica_.changes.changed_jobs.empty()) {
    owner_.request_placement();
    leader_.route_changed_jobs();
  }
  fleet_.record_task_events(replica_.changes.events);
  replica_.changes.events.clear();
  replica_.changes.changed_jobs.clear();
  owner_.apply_store_changes();
  replica_.changes.changed_machines.clear();
}

void Controller::broadcast_updates() {
  wire::StoreUpdates updates;
  updates.items = committer_.pop_updates();
  if (!updates.items.empty())
    peers_.broadcast(wire::PeerMessageKind::kStoreUpdates, wire::pack(updates));
}

// ---- HTTP requests ------------------------------------------------------------------------------

void Controller::handle_request(const runtime::Request& request) {
  if (request.target == kReadyTarget) return reply_readiness(request);
  if (request.target != kReportTarget) return user_requests_.handle(request);
  if (request.method != "POST") return context_.reply(request.id, 405, "{}");
  owner_.handle_heartbeat(request.id, request.body);
}

void Controller::reply_readiness(const runtime::Request& request) {
  if (request.method != "GET") return context_.reply(request.id, 405, "{}");
  if (is_ready())
    context_.reply(request.id, 200, "{\"ready\":true}");
  else
    context_.reply(request.id, 503, "{\"ready\":false}", 1);
}

bool Controller::is_ready() const {
  if (!replica_.synced || replica_.types.empty()) return false;
  return client_.is_healthy() || !has_better_connected_peer();
}

// Returns whether the store does not answer this controller while it answers a ready peer, which
// can therefore serve users better. During a store outage no controller gets answers, and reporting
// "not ready" would only keep this one out of the load balancer until its health checks pass again.
// Therefore the last response that the peer received must be later than this controller's by a
// margin.
bool Controller::has_better_connected_peer() const {
  const PlatformSettings& platform = context_.settings.platform;
  const double min_peer_response_time =
      client_.failing_since() + kMinResponseLagReports * platform.report_s;
  return std::any_of(platform.peers.begin(), platform.peers.end(), [&](const PeerAddress& address) {
    const membership::Peer* peer = peers_.find(address.label);
    return peer != nullptr && peers_.is_alive(address.label) && peer->heartbeat.is_ready &&
           peer->last_received_at - peer->heartbeat.store_response_age_s > min_peer_response_time;
  });
}

// ---- Messages from other controllers ------------------------------------------------------------

void Controller::handle_peer_disconnect(const runtime::PeerDisconnected& disconnect) {
  peers_.handle_connection_loss(disconnect.label);
  status_publisher_.handle_connection_loss(disconnect.label);
}

void Controller::handle_peer_message(const runtime::PeerMessage& message) {
  const auto envelope = peers_.receive(message.bytes);
  if (!envelope) return;
  switch (static_cast<wire::PeerMessageKind>(envelope->kind)) {
    case wire::PeerMessageKind::kHeartbeat:
      return unpack_and_handle<wire::ControllerHeartbeat>(*envelope);
    case wire::PeerMessageKind::kMachineStatus:
      return unpack_and_handle<wire::MachineStatusUpdate>(*envelope);
    case wire::PeerMessageKind::kStoreUpdates:
      return unpack_and_handle<wire::StoreUpdates>(*envelope);
    case wire::PeerMessageKind::kCancelledJobs:
      return unpack_and_handle<wire::CancelledJobs>(*envelope);
    case wire::PeerMessageKind::kRouting:
      return unpack_and_handle<wire::RoutingUpdate>(*envelope);
    case wire::PeerMessageKind::kUnassignedMachine:
      return unpack_and_handle<wire::UnassignedMachine>(*envelope);
    case wire::PeerMessageKind::kLeaseRenewal:
      return unpack_and_handle<wire::LeaseRenewalRequest>(*envelope);
  }
}

template <typename Message>
void Controller::unpack_and_handle(const wire::Envelope& envelope) {
  auto message = wire::unpack<Message>(envelope.payload);
  if (message) return handle_message(envelope.label, std::move(*message));
  context_.debug("peers", "dropped malformed message from {}: {}", envelope.label,
                 message.error().describe());
}

void Controller::handle_message(const std::string& sender, wire::ControllerHeartbeat heartbeat) {
  for (const wire::MachineAddress& address : heartbeat.addresses)
    owner_.record_address(address.machine, address.address);
  cancellations_.receive(sender, heartbeat);
  peers_.record_heartbeat(sender, std::move(heartbeat));
}

void Controller::handle_message(const std::string& sender, wire::MachineStatusUpdate update) {
  machine_statuses_.record(sender, std::move(update.machines));
}

// Applies the changes that another controller has written to the store. They are ignored until this
// replica has been loaded from the store.
void Controller::handle_message(const std::string& /*sender*/, const wire::StoreUpdates& updates) {
  if (!replica_.synced) return;
  for (const wire::StoreUpdate& update : updates.items) {
    if (update.value.empty()) {
      replica_.remove(update.key, update.revision);
      continue;
    }
    const auto value = nlohmann::json::parse(update.value, nullptr, false);
    if (!value.is_discarded()) replica_.apply(update.key, value, update.revision);
  }
}

void Controller::handle_message(const std::string& sender, const wire::CancelledJobs& cancelled) {
  cancellations_.receive(sender, cancelled);
}

void Controller::handle_message(const std::string& /*sender*/, const wire::RoutingUpdate& routing) {
  owner_.apply_routing_update(routing);
}

void Controller::handle_message(const std::string& /*sender*/,
                                const wire::UnassignedMachine& machine) {
  owner_.record_address(machine.machine, machine.address);
  fleet_.on_unassigned_machine(machine);
}

void Controller::handle_message(const std::string& sender,
                                const wire::LeaseRenewalRequest& request) {
  leader_.renew_lease(sender, request);
}

}  // namespace rooksill::controller
