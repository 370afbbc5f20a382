#include "rooksill/agent/failure_detector.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "rooksill/model/value_sizes.h"
#include "rooksill/runtime/socket_budget.h"

namespace rooksill::agent {

namespace {
// Lease durations without a report after which a worker is mute, though it answers probes. Replicas
// are started again in place within moments of each lease's end, so those may stay for longer.
constexpr double kMuteLeases = 0.6;
constexpr double kMuteReplicaLeases = 2.2;
constexpr int kFailedProbes = 2;          // in a row that make a worker unreachable
constexpr double kProbesPerReport = 10;   // at most, to one worker
constexpr double kProbeTimeout = 0.25;    // in report intervals, as the next
constexpr double kNoAddressPatience = 2;  // after which a worker without an address has failed
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
  // Where most workers are mute, it is this controller that their reports do not reach.
  const bool mute_is_silent = few_are_mute();
  SelfCheck::Tally tally;
  for (auto& [name, worker] : workers_) {
    probe(worker);
    const bool late = unanswered(worker);
    if (expected(worker)) ++tally.expected;
    if (late) ++tally.unanswered;
    set_silent(worker, (late && patience_is_over(worker)) || (mute_is_silent && is_mute(worker)));
  }
  const auto verdict = self_check_.update(tally, zones_.all_unreachable());
  if (verdict == SelfCheck::Verdict::kReconnected) zones_.clear();
  zones_.judge_samples();
}

// A machine that answers and sends no reports cannot reach the controllers: its lease runs out
// again and again, and with it all its work.
bool FailureDetector::is_mute(const Worker& worker) const {
  const bool has_replicas = replica_.load(worker.name).replica_cpus > 0;
  const double leases = has_replicas ? kMuteReplicaLeases : kMuteLeases;
  const double since =
      std::max({worker.contact.last_report, worker.contact.recovered_at, context_.resumed_at});
  return worker.reported &&
         context_.now.steady - since > leases * context_.settings.platform.lease_s;
}

bool FailureDetector::few_are_mute() const {
  const auto mute = std::count_if(workers_.begin(), workers_.end(),
                                  [this](const auto& entry) { return is_mute(entry.second); });
  return static_cast<size_t>(mute) * 2 <= workers_.size();
}

bool FailureDetector::expected(const Worker& worker) const {
  return worker.reported || !replica_.placed_on(worker.name).empty();
}

bool FailureDetector::unanswered(const Worker& worker) const {
  return expected(worker) && worker.probe.failed &&
         seconds_silent(worker, context_) > kProbeReports * context_.settings.platform.report_s;
}

// A machine that the cloud is about to take back need not be waited for.
bool FailureDetector::patience_is_over(const Worker& worker) const {
  return seconds_silent(worker, context_) > silence_limit() || worker.terminates_at;
}

void FailureDetector::set_silent(Worker& worker, bool silent) {
  if (silent == worker.silent) return;
  worker.silent = silent;
  worker.status_changed = true;
}

double FailureDetector::silence_limit() const {
  return context_.settings.operators.machine_timeout_reports * context_.settings.platform.report_s;
}

void FailureDetector::record_contact(Worker& worker) {
  // A machine that was out of reach needs a while to find its controller again.
  if (seconds_silent(worker, context_) > silence_limit())
    worker.contact.recovered_at = context_.now.steady;
  worker.contact.last_heard = context_.now.steady;
  worker.probe.clear_failures();
  self_check_.record_answer();
}

// ---- probes --------------------------------------------------------------------------------

void FailureDetector::probe(Worker& worker) {
  if (!probe_due(worker)) return worker.probe.clear_failures();
  const double report = context_.settings.platform.report_s;
  if (worker.address.empty() && seconds_silent(worker, context_) > kNoAddressPatience * report)
    worker.probe.failed = true;
  if (worker.probe.in_flight || worker.address.empty()) return;
  if (context_.now.steady < worker.probe.next_at) return;
  // Hundreds may be late at once, after a cut or a pause: they are probed in turn.
  if (probes_in_flight_ >= runtime::kProbeSockets * context_.settings.platform.max_sockets) return;
  send_probe(worker);
}

bool FailureDetector::probe_due(const Worker& worker) const {
  const double report = context_.settings.platform.report_s;
  return seconds_silent(worker, context_) >= kProbeReports * report || lease_ran_out(worker);
}

// Such a worker is probed at once: its tasks are to be started again.
bool FailureDetector::lease_ran_out(const Worker& worker) const {
  const WorkerContact& contact = worker.contact;
  return worker.reported && context_.now.steady > contact.lease_ends_at &&
         contact.last_heard < contact.lease_ends_at;
}

void FailureDetector::send_probe(Worker& worker) {
  const double report = context_.settings.platform.report_s;
  ++probes_in_flight_;
  worker.probe.in_flight = true;
  worker.probe.next_at = context_.now.steady + report / kProbesPerReport;
  context_.call(
      runtime::Target::kWorker, worker.address, "GET", "/inspect", "", report * kProbeTimeout,
      [this, name = worker.name](const runtime::CallDone& done) { on_probe_done(name, done); });
}

void FailureDetector::on_probe_done(const std::string& name, const runtime::CallDone& done) {
  --probes_in_flight_;
  Worker* worker = workers_.find(name);
  if (worker == nullptr) return;
  worker->probe.in_flight = false;
  const auto heartbeat = wire::parse_heartbeat(done.body);
  const bool answered = done.status == 200 && heartbeat;
  if (answered && heartbeat->machine == name) return on_heartbeat_(*worker, *heartbeat);
  worker->probe.failed = ++worker->probe.failures >= kFailedProbes;
  if (const model::Machine* machine = replica_.machine(name)) zones_.sample(machine->zone);
}

std::vector<std::string> FailureDetector::silent_machines() const {
  std::vector<std::string> out;
  const size_t most = context_.settings.platform.store_max_value_bytes / model::kItemBytes / 2;
  for (const auto& [name, worker] : workers_)
    if (worker.silent && out.size() < most) out.push_back(name);
  return out;
}

}  // namespace rooksill::agent
