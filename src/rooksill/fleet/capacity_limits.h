// Estimates of the capacity that the cloud has for each offer.
#pragma once

#include <map>

#include "rooksill/fleet/machine_lists.h"
#include "rooksill/fleet/offer.h"
#include "rooksill/fleet/unreachable_machines.h"
#include "rooksill/runtime/context.h"

namespace rooksill::fleet {

// The limit on the number of machines in one rental request.
inline constexpr int kMaxMachinesPerRental = 50;

// The cloud does not publish its capacity; only a refused request reveals it. A refusal is
// remembered for a time that grows with each further refusal. Otherwise every sizing period would
// repeat futile requests and use up the rate limit that other requests need. Refusals are kept
// across terms, because they describe the cloud and not the leader.
class CapacityLimits {
 public:
  CapacityLimits(runtime::Context& context, const MachineLists& lists,
                 const UnreachableMachines& unreachable_machines)
      : context_(context), lists_(lists), unreachable_machines_(unreachable_machines) {}

  // Returns whether the offer may be requested now: it was not refused recently and its zone is not
  // isolated.
  bool can_request(const Offer& offer) const;
  // Returns the estimated limit on machines of the offer: the number at the last refusal, or
  // without a recent refusal the current number plus one maximum-size request.
  int machine_limit(const Offer& offer) const;

  // Records that the cloud provided fewer machines than requested.
  void record_refusal(const Offer& offer);
  // Records that the cloud provided machines, which discards an observed limit.
  void record_success(const Offer& offer) { observed_limits_.erase(offer); }

 private:
  // The limit that a refusal revealed.
  struct ObservedLimit {
    int machines = 0;       // number of machines of the offer at the refusal
    int refusals = 0;       // consecutive, counted up to kMaxCountedRefusals
    double expires_at = 0;  // steady clock
  };

  runtime::Context& context_;
  const MachineLists& lists_;
  const UnreachableMachines& unreachable_machines_;
  std::map<Offer, ObservedLimit> observed_limits_;
  std::map<Offer, double> blocked_until_;  // steady clock
};

}  // namespace rooksill::fleet
