#include "rooksill/agent/self_check.h"

#include <iterator>

namespace rooksill::agent {

namespace {
constexpr int kProbedAtOnce = 3;  // workers of any partition
constexpr double kNever = -1e9;

// At least four fifths.
bool nearly_all(const SelfCheck::Tally& tally) {
  return tally.unanswered * 10 >= tally.expected * 8;
}
}  // namespace

SelfCheck::Verdict SelfCheck::update(const Tally& tally, bool all_zones_unreachable) {
  const bool cut_off = tally.expected >= 2 && (nearly_all(tally) || all_zones_unreachable);
  if (cut_off && !suspect_) {
    context_.info("agent", "{} of {} workers silent: suspecting this controller", tally.unanswered,
                  tally.expected);
    suspect_ = true;
    last_answer_ = kNever;
  }
  if (!suspect_) return Verdict::kConnected;
  if (!cut_off && context_.now.steady - last_answer_ < context_.settings.platform.report_s) {
    context_.info("agent", "workers answer: no longer suspecting this controller");
    suspect_ = false;
    return Verdict::kReconnected;
  }
  probe_any_workers();
  return Verdict::kSuspect;
}

// Without partitions this controller has no workers of its own: any worker's answer will do.
void SelfCheck::probe_any_workers() {
  const auto& addresses = workers_.addresses();
  if (!workers_.empty() || addresses.empty() || context_.now.steady < next_probe_) return;
  const double timeout = context_.settings.platform.report_s / 4;
  next_probe_ = context_.now.steady + timeout;
  for (int i = 0; i < kProbedAtOnce; ++i) {
    auto chosen = addresses.begin();
    std::advance(chosen, static_cast<long>(context_.rng() % addresses.size()));
    context_.call(runtime::Target::kWorker, chosen->second, "GET", "/inspect", "", timeout,
                  [this](const runtime::CallDone& done) {
                    if (done.status == 200) record_answer();
                  });
  }
}

}  // namespace rooksill::agent
