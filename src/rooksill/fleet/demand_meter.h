// What demand there is for machines, by pool.
#pragma once

#include <map>
#include <vector>

#include "rooksill/fleet/offer.h"
#include "rooksill/policy/demand.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"

namespace rooksill::fleet {

// Measures the arrival and service rates of each pool from the changes of the store. Every
// controller measures, so that a new leader has its figures ready.
class DemandMeter {
 public:
  DemandMeter(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  // Counts tasks that were placed or have finished.
  void record_events(const std::vector<store::TaskEvent>& events);
  // Called with each tick: adds how busy the machines are, and ends the period when it is over.
  void sample();

  const policy::Demand& demand_of(const InstancePool& pool) { return demand_[pool]; }
  // When the present period ends, by the steady clock.
  double period_ends_at() const { return period_ends_at_; }

 private:
  std::map<InstancePool, double> busy_machines() const;

  runtime::Context& context_;
  const store::Replica& replica_;
  std::map<InstancePool, policy::Demand> demand_;
  double last_sample_at_ = 0;  // steady clock; 0: none yet
  double period_ends_at_ = 0;   // 0: no period has begun
};

}  // namespace rooksill::fleet
