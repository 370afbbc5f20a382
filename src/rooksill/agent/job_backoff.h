// Backoff for jobs whose tasks fail on several machines.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "rooksill/runtime/context.h"

namespace rooksill::agent {

// Decides whether the failure of a task is attributed to its machine or to its job, and delays
// further attempts of a job that fails on several machines.
class JobBackoff {
 public:
  // What a failure is attributed to.
  enum class Cause { kMachine, kJob };

  explicit JobBackoff(runtime::Context& context) : context_(context) {}

  // Records that an attempt of one of the job's tasks ended with an error on the machine, and
  // returns what the failure is attributed to. `attempt` is the attempt's number.
  Cause record_failure(const std::string& job, const std::string& machine, uint64_t attempt);
  // Returns whether the job's tasks must not be placed yet.
  bool is_backing_off(const std::string& job) const;
  // Returns whether a task of the job has failed on the machine.
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
