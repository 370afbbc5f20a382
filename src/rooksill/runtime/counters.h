// Named event counters for the controller's periodic log line.
#pragma once

#include <map>
#include <string>
#include <utility>

namespace rooksill::runtime {

// Sums amounts by name. A counter exists from the first time that it is added to.
class Counters {
 public:
  // Adds to a counter.
  void add(const char* name, double amount) { values_[name] += amount; }

  // Returns the sums since the last call, by name, and resets them.
  std::map<std::string, double> consume() { return std::exchange(values_, {}); }

 private:
  std::map<std::string, double> values_;
};

}  // namespace rooksill::runtime
