// Whether tasks of a job can go to a machine, and how many.
#pragma once

#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/model/resources.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/settings/settings.h"

namespace rooksill::placement {

class Feasibility {
 public:
  explicit Feasibility(const std::vector<Objective>& objectives);

  // Whether the job's constraints allow the machine, whatever is free there. Its type must be
  // known.
  static bool allows(const model::JobSpec& spec, const MachineCapacity& machine);

  // What tasks of the job have to leave free on the machine, in CPUs: work that may run on spot
  // machines keeps off a part of each ordinary machine, so that work that may not starts at once.
  model::Resources headroom(const model::JobSpec& spec, const MachineCapacity& machine) const;

  // Tasks of the job that fit in what is free, less the headroom and what is set aside for others.
  // A whole number of at most a million.
  double free_slots(const model::JobSpec& spec, const MachineCapacity& machine,
                    const model::Resources& reserved) const;

  // What the machine has for the job once all that were told to stop are gone.
  model::Resources free_after_evictions(const model::JobSpec& spec,
                                       const MachineCapacity& machine) const {
    return machine.free + machine.evicting - headroom(spec, machine);
  }

 private:
  double min_wait_objective_s_;  // of the objectives for waiting; infinite without any
};

}  // namespace rooksill::placement
