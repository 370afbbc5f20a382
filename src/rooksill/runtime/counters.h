// Named counters of what the controller did, for the periodic line in the log.
#pragma once

#include <map>
#include <string>
#include <utility>

namespace rooksill::runtime {

class Counters {
 public:
  void add(const char* name, double amount) { values_[name] += amount; }

  // The values since the last call, by name.
  std::map<std::string, double> consume() { return std::exchange(values_, {}); }

 private:
  std::map<std::string, double> values_;
};

}  // namespace rooksill::runtime
