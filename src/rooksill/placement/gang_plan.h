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
  int block = 0;
  uint32_t slots = 0;
  double start_s = 0;  // until its image is there
  double score = 0;    // the smaller, the better a place
};

// So many tasks on the machine of that option.
struct GangPlace {
  size_t option = 0;
  uint32_t tasks = 0;
};

// Places for all tasks, or none. `tasks_left` says by block how many more the team's share allows.
// With `one_zone` all are in one zone. A gang starts when the last of its tasks can: of several
// zones that could hold it, the one where that is soonest is taken.
std::vector<GangPlace> plan_gang(const std::vector<GangOption>& options, uint32_t tasks,
                                 const std::map<int, double>& tasks_left, bool one_zone);

}  // namespace rooksill::placement
