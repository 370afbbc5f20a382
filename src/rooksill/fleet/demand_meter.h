// Measurement of the demand for machines of each pool.
#pragma once

#include <map>
#include <vector>

#include "rooksill/fleet/offer.h"
#include "rooksill/policy/demand.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"

namespace rooksill::fleet {

// Measures the arrival and service rates of each pool from the changes of the store. Runs on every
// controller, so that a new leader has an estimate from the start.
class DemandMeter {
 public:
  DemandMeter(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  // Records first placements and completions of tasks.
  void record_events(const std::vector<store::TaskEvent>& events);
  // Samples the machines' utilization and, at the end of a period, updates the averages. Called on
  // each tick; ticks between two samples have no effect.
  void sample();

  // Returns the pool's demand. The arrival rate λ is 0 for a pool without any recorded task.
  const policy::Demand& demand_of(const InstancePool& pool) { return demand_[pool]; }
  // Returns the end of the current period, by the steady clock.
  double period_ends_at() const { return period_ends_at_; }

 private:
  std::map<InstancePool, double> busy_machines() const;

  runtime::Context& context_;
  const store::Replica& replica_;
  std::map<InstancePool, policy::Demand> demand_;
  double last_sample_at_ = 0;  // steady clock; 0: no sample yet
  double period_ends_at_ = 0;  // steady clock; 0: no period has started
};

}  // namespace rooksill::fleet
