#include "rooksill/agent/renewal_permit.h"

namespace rooksill::agent {

namespace {
// Part of the time by which a cancellation's limit exceeds a lease. The rest covers clock drift.
constexpr double kUsablePart = 0.95;
}  // namespace

bool RenewalPermit::granted() const {
  const auto& platform = context_.settings.platform;
  const double known_for = context_.now.steady - cancellations_.known_at();
  return known_for < kUsablePart * (platform.cancel_deadline_s - platform.lease_s);
}

}  // namespace rooksill::agent
