#include "rooksill/fleet/capacity_limits.h"

#include <algorithm>

namespace rooksill::fleet {

namespace {
constexpr int kMaxCountedRefusals = 4;            // further refusals do not extend the times below
constexpr double kLimitHeartbeatsPerRefusal = 5;  // time an observed limit is valid
constexpr double kBlockHeartbeatsPerRefusal = 2;  // time without requests for the offer
}  // namespace

bool CapacityLimits::can_request(const Offer& offer) const {
  if (unreachable_machines_.is_isolated(offer.zone)) return false;
  const auto blocked = blocked_until_.find(offer);
  return blocked == blocked_until_.end() || blocked->second <= context_.now.steady;
}

int CapacityLimits::machine_limit(const Offer& offer) const {
  const auto observed = observed_limits_.find(offer);
  if (observed == observed_limits_.end() || observed->second.expires_at <= context_.now.steady)
    return lists_.count_of(offer) + kMaxMachinesPerRental;
  return observed->second.machines;
}

void CapacityLimits::record_refusal(const Offer& offer) {
  const double now = context_.now.steady;
  const double heartbeat_s = context_.settings.platform.report_s;
  ObservedLimit& limit = observed_limits_[offer];
  limit.machines = lists_.count_of(offer);
  limit.refusals = std::min(limit.refusals + 1, kMaxCountedRefusals);
  limit.expires_at = now + kLimitHeartbeatsPerRefusal * heartbeat_s * limit.refusals;
  blocked_until_[offer] = now + kBlockHeartbeatsPerRefusal * heartbeat_s * limit.refusals;
}

}  // namespace rooksill::fleet
