// Decides whether tasks of a job can run on a machine, and how many.
#pragma once

#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/model/resources.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/settings/settings.h"

namespace rooksill::placement {

// Checks job constraints and computes the capacity that a machine has for tasks of a job. Jobs that
// may use spot machines leave headroom on ordinary (non-spot) machines, so that jobs that may not
// can start there at once.
class Feasibility {
 public:
  // Reads the shortest waiting time among the objectives; it decides which jobs leave headroom.
  explicit Feasibility(const std::vector<Objective>& objectives);

  // Returns whether the job's constraints (spot, zone, machine types) allow the machine, regardless
  // of its free capacity. The machine's type must be known.
  static bool allows(const model::JobSpec& spec, const MachineCapacity& machine);

  // Returns the resources (only CPUs) that tasks of the job must leave free on the machine. Zero on
  // spot machines and for jobs that may not use spot machines.
  model::Resources headroom(const model::JobSpec& spec, const MachineCapacity& machine) const;

  // Returns how many tasks of the job fit in the machine's free resources, less the headroom and
  // what is `reserved` for other jobs: a whole number, at most a million.
  double free_slots(const model::JobSpec& spec, const MachineCapacity& machine,
                    const model::Resources& reserved) const;

  // Returns the resources available to the job once all evicted tasks have left the machine. The
  // headroom is subtracted.
  model::Resources free_after_evictions(const model::JobSpec& spec,
                                        const MachineCapacity& machine) const {
    return machine.free + machine.evicting - headroom(spec, machine);
  }

 private:
  double min_wait_objective_s_;  // shortest objective for waiting times; infinite without any
};

}  // namespace rooksill::placement
