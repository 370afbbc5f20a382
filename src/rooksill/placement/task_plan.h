// Which machines take how many of a job's tasks.
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

// A machine that takes tasks of the job.
struct MachineOption {
  size_t machine_index = 0;  // its place in the list of machines of the present pass
  const MachineCapacity* capacity = nullptr;
  uint32_t slots = 0;  // tasks for which it has room
  double start_s = 0;  // until the job's image is there
  double score = 0;    // the smaller, the better a place
};

// So many tasks go to the machine.
struct Assignment {
  size_t machine_index = 0;
  uint32_t tasks = 0;
};

// What is still to be placed, and what bounds it besides the machines.
struct Demand {
  uint32_t tasks = 0;
  ZoneLimits zones;
  std::map<int, double> quota_tasks;  // by partition: how many more the team's quota allows there
};

// By score, then by the machine's name.
void sort_by_score(std::vector<MachineOption>& options);

// Fills one machine after the other, in the order given, and takes what it assigns off the demand.
std::vector<Assignment> assign_in_order(std::span<const MachineOption> options, Demand& demand);

// The zone with the most room for the job, the first by name of several; empty if none has any.
std::string zone_with_most_slots(const std::vector<MachineOption>& options);

}  // namespace rooksill::placement
