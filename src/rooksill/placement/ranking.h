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

// Returns the seconds until the job's image is in the machine's cache; 0 if it is there already.
// Images that are fetched at the same time share the machine's fetch rate.
double image_wait_s(const model::Job& job, const MachineCapacity& machine);

// Returns the machine's score for the job; lower is better. Prefers, in descending order of weight:
// machines where the job's tasks have not failed, spot machines for jobs that may use them,
// machines that have the image or will have it soon, cheap CPUs, and machines with few free CPUs
// (bin packing, so that other machines become empty). `cheapest_price` is the result of
// cheapest_cpu_price().
double score(const model::Job& job, const MachineCapacity& machine, double cheapest_price,
             bool has_failed_on_machine);

}  // namespace rooksill::placement
