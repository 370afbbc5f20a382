// Plans the placement of gangs: all tasks of a gang are placed at once, or none.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/placement/feasibility.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/placement/task_plan.h"

namespace rooksill::placement {

// Assigns all tasks of the demand to the options, or returns no assignment. A gang starts when the
// last of its tasks can start, so options with the earliest start come first. With `one_zone`, all
// tasks go to one zone: of the zones that can hold them, the one with the earliest start.
std::vector<Assignment> plan_gang(std::vector<MachineOption> options, const Demand& demand,
                                  bool one_zone);

// How many tasks of a gang would fit if all work of lower priority were evicted.
struct GangCapacity {
  std::string zone;  // empty: summed over all zones
  double tasks = 0;
};

// Returns the gang's capacity over all zones, or in the zone with the most capacity if the gang has
// to be in one zone. Returns nullopt if no machine is allowed or the job requests no CPUs.
std::optional<GangCapacity> max_gang_capacity(const model::JobSpec& spec,
                                              const std::vector<const MachineCapacity*>& machines,
                                              const Feasibility& feasibility);

}  // namespace rooksill::placement
