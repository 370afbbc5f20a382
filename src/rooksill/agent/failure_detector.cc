#include "rooksill/agent/failure_detector.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "rooksill/model/value_sizes.h"
#include "rooksill/runtime/socket_budget.h"

namespace rooksill::agent {

namespace {
// Lease durations without a periodic heartbeat after which a worker counts as having stopped them,
// although it responds to probes. Service replicas run until the lease expires, so a machine with
// replicas is given until then. After that, nothing can be started on it.
constexpr double kNoHeartbeatTimeoutLeases = 0.6;
constexpr double kNoHeartbeatReplicaTimeoutLeases = 1;
constexpr int kUnreachableProbeFailures = 2;  // consecutive failures that make a worker unreachable
constexpr double kMaxProbesPerHeartbeat = 10;  // to one worker
constexpr double kProbeTimeoutHeartbeats = 0.25;
// Time without contact after which a worker without an address counts as failed.
constexpr double kNoAddressTimeoutHeartbeats = 2;
}  // namespace

FailureDetector::FailureDetector(runtime::Context& context, const store::Replica& replica,
                                 WorkerTable& workers, HeartbeatHandler on_heartbeat)
    : context_(context),
      replica_(replica),
      workers_(workers),
      on_heartbeat_(std::move(on_heartbeat)),
      zones_(context, replica, workers),
      self_check_(context, workers) {}

void FailureDetector::check() {
  // If most workers seem to have stopped their heartbeats, the cause is that this controller does
  // not receive them, so no worker is marked as unreachable for missing heartbeats.
  const bool should_mark_stopped_workers = do_most_send_heartbeats();
  SelfCheck::ResponseCounts counts;
  for (auto& [name, worker] : workers_) {
    probe_if_due(worker);
    const bool unresponsive = is_unresponsive(worker);
    if (is_response_expected(worker)) ++counts.expected;
    if (unresponsive) ++counts.unresponsive;
    set_unreachable(worker, (unresponsive && is_timeout_exceeded(worker)) ||
                                (should_mark_stopped_workers && has_stopped_heartbeats(worker)));
  }
  const auto verdict = self_check_.update(counts, zones_.is_every_zone_unreachable());
  if (verdict == SelfCheck::Verdict::kReconnected) zones_.clear();
  zones_.evaluate_samples();
}

// A worker that responds to probes but sends no heartbeats cannot reach the controllers. Its lease
// is not renewed, so all its tasks end each time the lease expires.
bool FailureDetector::has_stopped_heartbeats(const Worker& worker) const {
  const bool has_replicas = replica_.load(worker.name).service_cpus > 0;
  const double timeout_leases =
      has_replicas ? kNoHeartbeatReplicaTimeoutLeases : kNoHeartbeatTimeoutLeases;
  const double last_activity_at = std::max({worker.contact.last_periodic_heartbeat_at,
                                            worker.contact.recovered_at, context_.resumed_at});
  return worker.has_reported && context_.now.steady - last_activity_at >
                                    timeout_leases * context_.settings.platform.lease_s;
}

bool FailureDetector::do_most_send_heartbeats() const {
  const auto stopped_count =
      std::count_if(workers_.begin(), workers_.end(),
                    [this](const auto& entry) { return has_stopped_heartbeats(entry.second); });
  return static_cast<size_t>(stopped_count) * 2 <= workers_.size();
}

bool FailureDetector::is_response_expected(const Worker& worker) const {
  return worker.has_reported || !replica_.placed_on(worker.name).empty();
}

bool FailureDetector::is_unresponsive(const Worker& worker) const {
  return is_response_expected(worker) && worker.probe.has_failed &&
         seconds_since_contact(worker, context_) >
             kProbeAfterHeartbeats * context_.settings.platform.report_s;
}

// Does not wait for the timeout if the cloud is about to reclaim the machine.
bool FailureDetector::is_timeout_exceeded(const Worker& worker) const {
  return seconds_since_contact(worker, context_) > unreachable_timeout_s() || worker.terminates_at;
}

void FailureDetector::set_unreachable(Worker& worker, bool is_unreachable) {
  if (is_unreachable == worker.is_unreachable) return;
  worker.is_unreachable = is_unreachable;
  worker.has_status_change = true;
}

double FailureDetector::unreachable_timeout_s() const {
  return context_.settings.operators.machine_timeout_reports * context_.settings.platform.report_s;
}

void FailureDetector::record_contact(Worker& worker) {
  // After an outage, a worker needs some time to find its controller again;
  // has_stopped_heartbeats() counts from this time.
  if (seconds_since_contact(worker, context_) > unreachable_timeout_s())
    worker.contact.recovered_at = context_.now.steady;
  worker.contact.last_contact_at = context_.now.steady;
  worker.probe.clear_failures();
  self_check_.record_response();
}

void FailureDetector::probe_if_due(Worker& worker) {
  if (!is_probe_due(worker)) return worker.probe.clear_failures();
  const double heartbeat_interval_s = context_.settings.platform.report_s;
  if (worker.address.empty() &&
      seconds_since_contact(worker, context_) > kNoAddressTimeoutHeartbeats * heartbeat_interval_s)
    worker.probe.has_failed = true;
  probe(worker);
}

void FailureDetector::probe(Worker& worker) {
  if (worker.probe.is_in_flight || worker.address.empty()) return;
  if (context_.now.steady < worker.probe.next_probe_at) return;
  // After a network outage or a suspension of this process, hundreds of workers may be due at once.
  // The limit on sockets spreads their probes over time.
  if (probes_in_flight_ >= runtime::kProbeSocketRatio * context_.settings.platform.max_sockets)
    return;
  send_probe(worker);
}

bool FailureDetector::is_probe_due(const Worker& worker) const {
  const double heartbeat_interval_s = context_.settings.platform.report_s;
  return seconds_since_contact(worker, context_) >= kProbeAfterHeartbeats * heartbeat_interval_s ||
         has_lease_expired(worker);
}

// Whether the lease of the worker's tasks has expired without contact since. Such a worker is
// probed immediately, because its tasks have to be restarted.
bool FailureDetector::has_lease_expired(const Worker& worker) const {
  const WorkerContact& contact = worker.contact;
  return worker.has_reported && context_.now.steady > contact.lease_expires_at &&
         contact.last_contact_at < contact.lease_expires_at;
}

void FailureDetector::send_probe(Worker& worker) {
  const double heartbeat_interval_s = context_.settings.platform.report_s;
  ++probes_in_flight_;
  worker.probe.is_in_flight = true;
  worker.probe.next_probe_at = context_.now.steady + heartbeat_interval_s / kMaxProbesPerHeartbeat;
  context_.call(runtime::Target::kWorker, worker.address, "GET", "/inspect", "",
                heartbeat_interval_s * kProbeTimeoutHeartbeats,
                [this, name = worker.name, sent_after = worker.version](
                    const runtime::CallDone& done) { on_probe_done(name, sent_after, done); });
}

void FailureDetector::on_probe_done(const std::string& name, HeartbeatVersion sent_after,
                                    const runtime::CallDone& done) {
  --probes_in_flight_;
  Worker* worker = workers_.find(name);
  if (worker == nullptr) return;
  worker->probe.is_in_flight = false;
  const auto heartbeat = wire::parse_heartbeat(done.body);
  const bool has_responded = done.status == 200 && heartbeat;
  if (has_responded && heartbeat->machine == name)
    return on_heartbeat_(*worker, *heartbeat, sent_after);
  worker->probe.has_failed = ++worker->probe.consecutive_failures >= kUnreachableProbeFailures;
  if (const model::Machine* machine = replica_.machine(name)) zones_.probe_sample(machine->zone);
}

std::vector<std::string> FailureDetector::unreachable_machines() const {
  std::vector<std::string> machines;
  const size_t max_count =
      context_.settings.platform.store_max_value_bytes / model::kMaxItemBytes / 2;
  for (const auto& [name, worker] : workers_)
    if (worker.is_unreachable && machines.size() < max_count) machines.push_back(name);
  return machines;
}

}  // namespace rooksill::agent
