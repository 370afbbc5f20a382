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

// Schedules `count` periods at times between `from` and `to` in which requests on one outside link
// are executed a second time, up to some worker leases late. `faults` must outlive the simulation.
void schedule_random_duplicates(Simulation& simulation, FaultInjector& faults, double lease_s,
                                double from, double to, int count);

}  // namespace standins
