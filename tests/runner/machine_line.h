// Machines in lines of scenarios.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include "rooksill/model/machine.h"
#include "runner/line.h"

namespace runner {

// Returns the machines named by the words from position `first`, as the entries of a page.
// `rented=` is the time of their rental; `pad=` is a length to which the names are extended.
inline std::map<std::string, rooksill::model::Machine> read_machines(const Line& line,
                                                                     size_t first) {
  std::map<std::string, rooksill::model::Machine> machines;
  for (size_t i = first; i < line.words.size(); ++i) {
    rooksill::model::Machine machine;
    machine.name = line.words[i];
    machine.name.resize(std::max(machine.name.size(), static_cast<size_t>(line.get("pad", 0))),
                        'x');
    machine.type = "box";
    machine.zone = "a";
    machine.rented_at = line.get("rented", 0);
    machines[machine.name] = machine;
  }
  return machines;
}

}  // namespace runner
