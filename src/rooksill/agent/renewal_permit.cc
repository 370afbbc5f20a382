#include "rooksill/agent/renewal_permit.h"

#include <utility>

namespace rooksill::agent {

namespace {
// Usable share of the time by which `cancel_s` exceeds a lease. The remainder covers clock drift.
constexpr double kUsableRatio = 0.95;
}  // namespace

double RenewalPermit::staleness_s() const {
  return context_.now.steady - cancellations_.complete_until();
}

bool RenewalPermit::is_granted() const {
  const auto& platform = context_.settings.platform;
  return staleness_s() < kUsableRatio * (platform.cancel_deadline_s - platform.lease_s);
}

void RenewalPermit::log_change() {
  const bool granted = is_granted();
  if (std::exchange(was_granted_, granted) == granted) return;
  if (granted)
    context_.info("agent",
                  "heartbeats are answered: all cancellations are known up to {:.1f} s ago",
                  staleness_s());
  else
    context_.info("agent",
                  "heartbeats are not answered and no tasks are started: all cancellations are "
                  "known only up to {:.1f} s ago",
                  staleness_s());
}

}  // namespace rooksill::agent
