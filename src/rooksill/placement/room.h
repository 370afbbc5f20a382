// What is free on one machine, as the owner of its partition sees it.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/model/machine.h"

namespace rooksill::placement {

// Worked out anew whenever something on the machine changed.
struct Room {
  const model::MachineType* type = nullptr;
  int partition = 0;
  bool spot = false;
  std::string zone;
  double cpus = 0, gpus = 0, memory = 0;
  uint32_t tasks = 0;
  std::vector<int> fetching;  // images on their way there
  // Cores of tasks by priority, and what those being stopped will leave.
  std::array<double, 4> cpus_by_priority{};
  double leaving_cpus = 0, leaving_gpus = 0, leaving_memory = 0;
  // What each team has here, so that it can be taken back when the room is worked out anew.
  std::map<std::string, std::pair<double, double>> teams;
};

}  // namespace rooksill::placement
