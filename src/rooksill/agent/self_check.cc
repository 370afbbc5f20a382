#include "rooksill/agent/self_check.h"

#include <iterator>

namespace rooksill::agent {

namespace {
constexpr int kWorkersPerProbeRound = 3;  // workers of any partition
constexpr double kNever = -1e9;

// Returns whether at least 80 % of the expected workers are unresponsive.
bool are_nearly_all_unresponsive(const SelfCheck::ResponseCounts& counts) {
  return counts.unresponsive * 10 >= counts.expected * 8;
}
}  // namespace

SelfCheck::Verdict SelfCheck::update(const ResponseCounts& counts, bool all_zones_unreachable) {
  const bool appears_isolated =
      counts.expected >= 2 && (are_nearly_all_unresponsive(counts) || all_zones_unreachable);
  if (appears_isolated && !is_likely_isolated_) {
    context_.info("agent", "{} of {} workers are unresponsive: this controller is likely isolated",
                  counts.unresponsive, counts.expected);
    is_likely_isolated_ = true;
    last_response_at_ = kNever;
  }
  if (!is_likely_isolated_) return Verdict::kConnected;
  if (!appears_isolated &&
      context_.now.steady - last_response_at_ < context_.settings.platform.report_s) {
    context_.info("agent", "workers respond again: this controller is no longer isolated");
    is_likely_isolated_ = false;
    return Verdict::kReconnected;
  }
  probe_random_workers();
  return Verdict::kLikelyIsolated;
}

// Without partitions this controller has no workers of its own, so it probes workers of any
// partition: a response from any of them ends the isolation.
void SelfCheck::probe_random_workers() {
  const auto& addresses = workers_.addresses();
  if (!workers_.empty() || addresses.empty() || context_.now.steady < next_probe_at_) return;
  const double timeout_s = context_.settings.platform.report_s / 4;
  next_probe_at_ = context_.now.steady + timeout_s;
  for (int i = 0; i < kWorkersPerProbeRound; ++i) {
    auto chosen = addresses.begin();
    std::advance(chosen, static_cast<long>(context_.rng() % addresses.size()));
    context_.call(runtime::Target::kWorker, chosen->second, "GET", "/inspect", "", timeout_s,
                  [this](const runtime::CallDone& done) {
                    if (done.status == 200) record_response();
                  });
  }
}

}  // namespace rooksill::agent
