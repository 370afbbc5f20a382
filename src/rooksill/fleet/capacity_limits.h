// How much of each offer the cloud is likely to have.
#pragma once

#include <map>

#include "rooksill/fleet/machine_lists.h"
#include "rooksill/fleet/offer.h"
#include "rooksill/fleet/unreachable_machines.h"
#include "rooksill/runtime/context.h"

namespace rooksill::fleet {

// The most machines that one rental request may ask for.
inline constexpr int kMaxMachinesPerRental = 50;

// The cloud does not publish its capacity: a refused request shows it. A refusal is believed for a
// while, longer each time; otherwise every period would ask in vain, and use up calls that other
// requests need. Refusals outlast a term: they say something of the cloud, not of the leader.
class CapacityLimits {
 public:
  CapacityLimits(runtime::Context& context, const MachineLists& lists, const UnreachableMachines& unreachable_machines)
      : context_(context), lists_(lists), unreachable_machines_(unreachable_machines) {}

  // Whether it makes sense to ask for the offer now: it was not refused lately, and its zone is not
  // cut off.
  bool can_request(const Offer& offer) const;
  // How many machines of the offer there can be: as many as when the cloud last gave no more, or
  // what one more request may ask for.
  int machine_limit(const Offer& offer) const;

  // The cloud gave fewer machines than were asked for.
  void record_refusal(const Offer& offer);
  // The cloud gave some machines.
  void record_success(const Offer& offer) { observed_limits_.erase(offer); }

 private:
  struct ObservedLimit {
    int machines = 0;  // how many there were when the cloud gave no more
    int refusals = 0;  // in a row
    double expires_at = 0;  // steady clock
  };

  runtime::Context& context_;
  const MachineLists& lists_;
  const UnreachableMachines& unreachable_machines_;
  std::map<Offer, ObservedLimit> observed_limits_;
  std::map<Offer, double> blocked_until_;  // steady clock
};

}  // namespace rooksill::fleet
