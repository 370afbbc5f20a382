// Where the tasks of a gang go: all of them at once, or none.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/placement/feasibility.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/placement/task_plan.h"

namespace rooksill::placement {

// Places for all tasks of the demand, or none. A gang starts when the last of its tasks can: of
// several zones that could hold one that has to be in one zone, the one where that is soonest is
// taken.
std::vector<Assignment> plan_gang(std::vector<MachineOption> options, const Demand& demand,
                                  bool one_zone);

// How many tasks of a gang would fit if all work of lower priority were evicted.
struct GangCapacity {
  std::string zone;  // empty: over all zones
  double tasks = 0;
};

// Over all zones, or in the zone with the most for a gang that has to be in one. Nothing if no
// machine is allowed.
std::optional<GangCapacity> max_gang_capacity(const model::JobSpec& spec,
                                       const std::vector<const MachineCapacity*>& machines,
                                       const Feasibility& feasibility);

}  // namespace rooksill::placement
