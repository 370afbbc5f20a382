// How good a place a machine is for a job's tasks.
#pragma once

#include <map>
#include <string>

#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/placement/machine_capacity.h"

namespace rooksill::placement {

// The lowest price of a CPU, an hour, among ordinary machines of all types; 1 if none has a price.
double cheapest_cpu_price(const std::map<std::string, model::MachineType>& types);

// Seconds until the machine has the image of the job; 0 if it is in its cache. Images that are
// fetched at the same time share the rate.
double image_wait_s(const model::Job& job, const MachineCapacity& machine);

// The smaller, the better a place. In the order of their weights: the job's tasks have not failed
// there, spot work goes to spot machines, the image is there or comes soon, CPUs are cheap, and the
// machine is full already, so that others empty.
double score(const model::Job& job, const MachineCapacity& machine, double cheapest_cpu_price,
             bool has_failed_on_machine);

}  // namespace rooksill::placement
