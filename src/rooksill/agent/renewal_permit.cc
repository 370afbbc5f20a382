#include "rooksill/agent/renewal_permit.h"

namespace rooksill::agent {

namespace {
// Usable share of the time by which `cancel_s` exceeds a lease. The remainder covers clock drift.
constexpr double kUsableRatio = 0.95;
}  // namespace

bool RenewalPermit::is_granted() const {
  const auto& platform = context_.settings.platform;
  const double staleness_s = context_.now.steady - cancellations_.complete_until();
  return staleness_s < kUsableRatio * (platform.cancel_deadline_s - platform.lease_s);
}

}  // namespace rooksill::agent
