// The state shared by all parts of a simulated deployment: the event queue with its clock, the
// random number generator, and the list of violations.
#pragma once

#include <string>
#include <vector>

#include "standins/event_queue.h"
#include "standins/random.h"

namespace standins {

// All parts keep a reference to it, so it must outlive them.
class Simulation {
 public:
  explicit Simulation(uint64_t seed) : random(seed) {}

  // Returns the simulated time in seconds.
  double now() const { return events.now(); }

  // Records the violation of a protocol rule, prefixed with the current time. A run with any
  // violation fails.
  void add_violation(const std::string& text) {
    violations_.push_back("t=" + std::to_string(now()) + " " + text);
  }
  // Returns the violations in the order in which they were found.
  const std::vector<std::string>& violations() const { return violations_; }

  EventQueue events;
  Random random;

 private:
  std::vector<std::string> violations_;
};

}  // namespace standins
