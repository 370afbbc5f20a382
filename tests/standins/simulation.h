// What every part of a simulated deployment shares: the clock, chance, and the list of violations.
#pragma once

#include <string>
#include <vector>

#include "standins/event_queue.h"
#include "standins/random.h"

namespace standins {

// Held by reference by all parts and outlives them.
class Simulation {
 public:
  explicit Simulation(uint64_t seed) : random(seed) {}

  double now() const { return events.now(); }

  // Records that a rule of the protocol was broken at the present time. A run with any violation
  // has failed.
  void add_violation(const std::string& text) {
    violations_.push_back("t=" + std::to_string(now()) + " " + text);
  }
  const std::vector<std::string>& violations() const { return violations_; }

  EventQueue events;
  Random random;

 private:
  std::vector<std::string> violations_;
};

}  // namespace standins
