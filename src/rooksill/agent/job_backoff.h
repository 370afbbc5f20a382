// Jobs whose tasks fail on machine after machine.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "rooksill/runtime/context.h"

namespace rooksill::agent {

// Decides whether a failed task is held against its machine or against its job, and delays the next
// tries of a job that fails everywhere.
class JobBackoff {
 public:
  enum class Cause { kMachine, kJob };

  explicit JobBackoff(runtime::Context& context) : context_(context) {}

  // An attempt of one of the job's tasks ended with an error on the machine.
  Cause record_failure(const std::string& job, const std::string& machine, uint64_t attempt);
  // Whether the job's tasks are not to be placed for now.
  bool is_backing_off(const std::string& job) const;
  bool has_failed_on(const std::string& job, const std::string& machine) const;

 private:
  struct Failures {
    std::set<std::string> machines;
    int count = 0;
    double retry_at = 0;  // steady clock
  };

  runtime::Context& context_;
  std::unordered_map<std::string, Failures> failures_;  // by job
};

}  // namespace rooksill::agent
