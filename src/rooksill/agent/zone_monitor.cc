#include "rooksill/agent/zone_monitor.h"

#include <algorithm>

namespace rooksill::agent {

namespace {
constexpr int kSampleSize = 10;  // in workers
// A zone is declared unreachable only from a sample of at least this size: fewer workers say little
// about the zone.
constexpr int kMinSampleSize = kSampleSize / 2;
constexpr double kSampleTimeoutHeartbeats = 0.2;  // timeout of a sample's probes
constexpr double kEvaluateAfterTimeouts = 1.2;    // multiple of that timeout
}  // namespace

void ZoneMonitor::probe_sample(const std::string& zone) {
  Sample& sample = samples_[zone];
  const double heartbeat_interval_s = context_.settings.platform.report_s;
  if (context_.now.steady - sample.started_at < heartbeat_interval_s) return;
  sample.started_at = context_.now.steady;
  sample.probes_sent = sample.responses_received = 0;
  sample.is_evaluated = false;
  std::vector<const Worker*> candidates = reported_workers_in(zone);
  std::shuffle(candidates.begin(), candidates.end(), context_.rng);
  for (const Worker* worker : candidates) {
    if (sample.probes_sent == kSampleSize) break;
    ++sample.probes_sent;
    context_.call(runtime::Target::kWorker, worker->address, "GET", "/inspect", "",
                  heartbeat_interval_s * kSampleTimeoutHeartbeats,
                  [this, zone, started_at = sample.started_at](const runtime::CallDone& done) {
                    if (done.status == 200) on_response(zone, started_at);
                  });
  }
}

std::vector<const Worker*> ZoneMonitor::reported_workers_in(const std::string& zone) const {
  std::vector<const Worker*> reported;
  for (const auto& [name, worker] : workers_) {
    const model::Machine* machine = replica_.machine(name);
    if (machine != nullptr && machine->zone == zone && worker.has_reported &&
        !worker.address.empty())
      reported.push_back(&worker);
  }
  return reported;
}

void ZoneMonitor::on_response(const std::string& zone, double started_at) {
  auto sample = samples_.find(zone);
  if (sample != samples_.end() && sample->second.started_at == started_at)
    ++sample->second.responses_received;
}

void ZoneMonitor::evaluate_samples() {
  for (auto& [zone, sample] : samples_) {
    if (!sample.is_evaluated && is_sample_complete(sample)) evaluate(zone, sample);
    if (sample.verdict == Verdict::kUnreachable && !workers_.empty()) probe_sample(zone);
  }
}

bool ZoneMonitor::is_sample_complete(const Sample& sample) const {
  const double elapsed_s = context_.now.steady - sample.started_at;
  return elapsed_s >
         kEvaluateAfterTimeouts * kSampleTimeoutHeartbeats * context_.settings.platform.report_s;
}

void ZoneMonitor::evaluate(const std::string& zone, Sample& sample) {
  const bool was_unreachable = sample.verdict == Verdict::kUnreachable;
  // A zone that is already unreachable stays so on a smaller sample: it was declared unreachable
  // when more workers were available.
  const int min_sent = was_unreachable ? 1 : kMinSampleSize;
  const bool is_unreachable =
      sample.probes_sent >= min_sent && sample.responses_received * 2 < sample.probes_sent;
  if (is_unreachable != was_unreachable)
    context_.info("agent", "zone {}: {} of {} probed workers responded; the zone is {}", zone,
                  sample.responses_received, sample.probes_sent,
                  is_unreachable ? "unreachable" : "reachable again");
  sample.verdict = is_unreachable ? Verdict::kUnreachable : Verdict::kReachable;
  sample.is_evaluated = true;
  is_every_zone_unreachable_ = is_unreachable && is_every_worker_in_unreachable_zone();
}

bool ZoneMonitor::is_every_worker_in_unreachable_zone() const {
  return std::all_of(workers_.begin(), workers_.end(), [this](const auto& entry) {
    const auto& [name, worker] = entry;
    const model::Machine* machine = replica_.machine(name);
    if (machine == nullptr || !worker.has_reported) return true;
    auto sample = samples_.find(machine->zone);
    return sample != samples_.end() && sample->second.verdict == Verdict::kUnreachable;
  });
}

void ZoneMonitor::clear() {
  samples_.clear();
  is_every_zone_unreachable_ = false;
}

std::vector<std::string> ZoneMonitor::unreachable_zones() const {
  std::vector<std::string> zones;
  for (const auto& [zone, sample] : samples_)
    if (sample.verdict == Verdict::kUnreachable) zones.push_back(zone);
  return zones;
}

}  // namespace rooksill::agent
