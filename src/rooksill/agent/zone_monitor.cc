#include "rooksill/agent/zone_monitor.h"

#include <algorithm>

namespace rooksill::agent {

namespace {
constexpr int kSampleSize = 10;  // workers of a zone
// A zone that was reachable is judged by at least so many: a few say little of it.
constexpr int kSmallestSample = kSampleSize / 2;
constexpr double kAnswerReports = 0.2;  // timeout of a sample's probes, in report intervals
constexpr double kJudgeAfter = 1.2;     // timeouts after which a sample is judged
}  // namespace

void ZoneMonitor::sample(const std::string& zone) {
  Sample& sample = samples_[zone];
  const double report = context_.settings.platform.report_s;
  if (context_.now.steady - sample.started < report) return;
  sample.started = context_.now.steady;
  sample.sent = sample.answered = 0;
  sample.judged = false;
  std::vector<const Worker*> candidates = reported_workers_in(zone);
  std::shuffle(candidates.begin(), candidates.end(), context_.rng);
  for (const Worker* worker : candidates) {
    if (sample.sent == kSampleSize) break;
    ++sample.sent;
    context_.call(runtime::Target::kWorker, worker->address, "GET", "/inspect", "",
                  report * kAnswerReports,
                  [this, zone, started = sample.started](const runtime::CallDone& done) {
                    if (done.status == 200) on_answer(zone, started);
                  });
  }
}

std::vector<const Worker*> ZoneMonitor::reported_workers_in(const std::string& zone) const {
  std::vector<const Worker*> out;
  for (const auto& [name, worker] : workers_) {
    const model::Machine* machine = replica_.machine(name);
    if (machine != nullptr && machine->zone == zone && worker.reported && !worker.address.empty())
      out.push_back(&worker);
  }
  return out;
}

void ZoneMonitor::on_answer(const std::string& zone, double started) {
  auto sample = samples_.find(zone);
  if (sample != samples_.end() && sample->second.started == started) ++sample->second.answered;
}

void ZoneMonitor::judge_samples() {
  for (auto& [zone, last] : samples_) {
    if (!last.judged && sample_is_over(last)) judge(zone, last);
    if (last.verdict == Verdict::kUnreachable && !workers_.empty()) sample(zone);
  }
}

bool ZoneMonitor::sample_is_over(const Sample& sample) const {
  const double passed = context_.now.steady - sample.started;
  return passed > kJudgeAfter * kAnswerReports * context_.settings.platform.report_s;
}

void ZoneMonitor::judge(const std::string& zone, Sample& sample) {
  const bool was_unreachable = sample.verdict == Verdict::kUnreachable;
  // Few workers are enough once the zone was found unreachable while there were more.
  const int needed = was_unreachable ? 1 : kSmallestSample;
  const bool unreachable = sample.sent >= needed && sample.answered * 2 < sample.sent;
  if (unreachable != was_unreachable)
    context_.info("agent", "zone {}: {} of {} workers probed answer, it is {}", zone,
                  sample.answered, sample.sent, unreachable ? "unreachable" : "reachable again");
  sample.verdict = unreachable ? Verdict::kUnreachable : Verdict::kReachable;
  sample.judged = true;
  all_unreachable_ = unreachable && every_worker_unreachable();
}

bool ZoneMonitor::every_worker_unreachable() const {
  return std::all_of(workers_.begin(), workers_.end(), [this](const auto& entry) {
    const auto& [name, worker] = entry;
    const model::Machine* machine = replica_.machine(name);
    if (machine == nullptr || !worker.reported) return true;
    auto sample = samples_.find(machine->zone);
    return sample != samples_.end() && sample->second.verdict == Verdict::kUnreachable;
  });
}

void ZoneMonitor::clear() {
  samples_.clear();
  all_unreachable_ = false;
}

std::vector<std::string> ZoneMonitor::unreachable_zones() const {
  std::vector<std::string> out;
  for (const auto& [zone, sample] : samples_)
    if (sample.verdict == Verdict::kUnreachable) out.push_back(zone);
  return out;
}

}  // namespace rooksill::agent
