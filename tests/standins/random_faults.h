// Random faults, which may overlap, determined by the seed.
#pragma once

#include "standins/controller_cluster.h"
#include "standins/fault_injector.h"
#include "standins/simulation.h"

namespace standins {

// Schedules `count` faults at times between `from` and `to`. `faults` must
// outlive the simulation.
void schedule_random_faults(Simulation& simulation, size_t controllers, FaultInjector& faults,
                            double from, double to, int count);

}  // namespace standins
