#include "rooksill/fleet/capacity_limits.h"

#include <algorithm>

namespace rooksill::fleet {

namespace {
constexpr int kMostRefusals = 4;       // after which the time of belief grows no more
constexpr double kCeilingReports = 5;  // report intervals that a ceiling holds, by refusal
constexpr double kClosedReports = 2;   // and that the offer is not asked for
}  // namespace

bool CapacityLimits::is_open(const Offer& offer) const {
  if (silent_.is_cut_off(offer.zone)) return false;
  const auto closed = closed_until_.find(offer);
  return closed == closed_until_.end() || closed->second <= context_.now.steady;
}

int CapacityLimits::ceiling(const Offer& offer) const {
  const auto known = ceilings_.find(offer);
  if (known == ceilings_.end() || known->second.until <= context_.now.steady)
    return lists_.count_of(offer) + kMaxMachinesPerRental;
  return known->second.machines;
}

void CapacityLimits::record_refusal(const Offer& offer) {
  const double now = context_.now.steady;
  const double report = context_.settings.platform.report_s;
  Ceiling& ceiling = ceilings_[offer];
  ceiling.machines = lists_.count_of(offer);
  ceiling.refusals = std::min(ceiling.refusals + 1, kMostRefusals);
  ceiling.until = now + kCeilingReports * report * ceiling.refusals;
  closed_until_[offer] = now + kClosedReports * report * ceiling.refusals;
}

}  // namespace rooksill::fleet
