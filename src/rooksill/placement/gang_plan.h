// Where the tasks of a gang go: all of them at once, or none.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rooksill::placement {

// A machine that takes tasks of the gang.
struct GangOption {
  std::string zone;
  int partition = 0;
  uint32_t slots = 0;
  double start_s = 0;  // until its image is there
  double score = 0;    // the smaller, the better a place
};

// So many tasks on the machine of that option.
struct GangPlace {
  size_t option = 0;
  uint32_t tasks = 0;
};

// What is to be placed, and how.
struct GangDemand {
  uint32_t tasks = 0;
  bool one_zone = false;             // all of them in one zone
  uint32_t most_in_zone = 0;         // of its tasks that one zone may have
  std::map<int, double> tasks_left;  // by partition: how many more the team's share allows
};

// Places for all tasks, or none. A gang starts when the last of its tasks can: of several zones
// that could hold one that has to be in one zone, the one where that is soonest is taken.
std::vector<GangPlace> plan_gang(const std::vector<GangOption>& options, const GangDemand& demand);

}  // namespace rooksill::placement
