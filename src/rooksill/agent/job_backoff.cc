#include "rooksill/agent/job_backoff.h"

#include <algorithm>

namespace rooksill::agent {

namespace {
constexpr int kJobFaultMachines = 3;  // failures on this many machines are attributed to the job
// Attempt number from which a failure is attributed to the job as well. It counts failures under
// all partition owners.
constexpr uint64_t kJobFaultAttempts = 6;
constexpr uint64_t kMaxCountedAttempts = 1000;  // limit of the failure count
// Each failure adds this to the delay before the next attempt, up to the maximum.
constexpr double kDelayPerFailureHeartbeats = 0.5;
constexpr double kMaxDelayHeartbeats = 10;
}  // namespace

JobBackoff::Cause JobBackoff::record_failure(const std::string& job, const std::string& machine,
                                             uint64_t attempt) {
  Failures& failures = failures_[job];
  failures.machines.insert(machine);
  // The store counts attempts, which includes failures under previous partition owners.
  failures.count =
      std::max(failures.count + 1, static_cast<int>(std::min(attempt, kMaxCountedAttempts)));
  if (failures.machines.size() < kJobFaultMachines && attempt < kJobFaultAttempts)
    return Cause::kMachine;
  const double delay_s =
      std::min(kMaxDelayHeartbeats, kDelayPerFailureHeartbeats * failures.count) *
      context_.settings.platform.report_s;
  failures.retry_at = context_.now.steady + delay_s;
  context_.info("agent", "job {} failed on {} machines: next attempt in {:.1f} s", job,
                failures.machines.size(), delay_s);
  return Cause::kJob;
}

bool JobBackoff::is_backing_off(const std::string& job) const {
  auto found = failures_.find(job);
  return found != failures_.end() && found->second.retry_at > context_.now.steady;
}

bool JobBackoff::has_failed_on(const std::string& job, const std::string& machine) const {
  auto found = failures_.find(job);
  return found != failures_.end() && found->second.machines.count(machine) != 0;
}

}  // namespace rooksill::agent
