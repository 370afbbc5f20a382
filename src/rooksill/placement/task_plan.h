// Distributes the tasks of a job over machines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "rooksill/placement/machine_capacity.h"
#include "rooksill/placement/zone_limits.h"

namespace rooksill::placement {

// A machine that can run tasks of the job.
struct MachineOption {
  size_t machine_index = 0;  // in the list of machines of the current pass
  const MachineCapacity* capacity = nullptr;
  uint32_t slots = 0;  // how many tasks of the job fit
  double start_s = 0;  // expected seconds until a task of the job has started
  double score = 0;    // lower is better
};

// Places a number of tasks on a machine.
struct Assignment {
  size_t machine_index = 0;  // in the list of machines of the current pass
  uint32_t tasks = 0;
};

// The tasks still to be placed, and the limits that apply besides the machines' capacity.
struct Demand {
  uint32_t tasks = 0;
  ZoneLimits zones;
  std::map<int, double> quota_tasks;  // by partition: how many more tasks the team's quota allows
};

// Sorts the options by score, then by the machine's name.
void sort_by_score(std::vector<MachineOption>& options);

// Fills one machine after the other in the given order, and subtracts the assigned tasks from the
// demand. `demand.quota_tasks` must have an entry for the partition of each option that may be
// used: a partition without one gets no tasks.
std::vector<Assignment> assign_in_order(std::span<const MachineOption> options, Demand& demand);

// Returns the zone with the most slots for the job, the first by name in a tie; empty if no zone
// has any.
std::string zone_with_most_slots(const std::vector<MachineOption>& options);

}  // namespace rooksill::placement
