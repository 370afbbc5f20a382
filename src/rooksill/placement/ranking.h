// Scores machines for the tasks of a job.
#pragma once

#include <map>
#include <string>

#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/placement/machine_capacity.h"

namespace rooksill::placement {

// Returns the lowest hourly price of one CPU among ordinary (non-spot) machines of all types; 1 if
// none has a price.
double cheapest_cpu_price(const std::map<std::string, model::MachineType>& types);

// Returns the expected seconds until a task of a gang has started on the machine: until its worker
// can be sent the start, and until the image is in the machine's cache. Images that are fetched at
// the same time share the machine's fetch rate.
double start_wait_s(const model::Job& job, const MachineCapacity& machine);

// Returns the machine's score for the job; lower is better. Prefers, in descending order of weight:
// machines where the job's tasks have not failed, spot machines for jobs that may use them,
// machines that have the image or will have it soon and, for services and gangs, can start a task
// soon, cheap CPUs, and machines with few free CPUs
// (bin packing, so that other machines become empty). `cheapest_price` is the result of
// cheapest_cpu_price().
double score(const model::Job& job, const MachineCapacity& machine, double cheapest_price,
             bool has_failed_on_machine);

}  // namespace rooksill::placement
