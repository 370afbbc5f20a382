// Jobs and their status as seen by users, and teams' quotas.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/workload.h"

namespace standins {

// The state of a job's submission. kTimedOut: not accepted within the time that a user retries it.
enum class Submission { kPending, kAccepted, kRejected, kTimedOut };

// The final status that a response reported; later responses must report the same.
enum class Outcome { kNone, kDone, kCancelled };

// A job that a user submits, and what responses have reported about it.
struct UserJob {
  Workload workload;
  nlohmann::json body;  // of the submission request
  std::string team, job_class;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  bool spot = false;               // may run on spot machines
  bool spread = false;             // each zone may have at most max_tasks_per_zone() tasks
  bool one_zone = false;           // all tasks must be in the same zone

  Submission submission = Submission::kPending;
  Outcome final_status = Outcome::kNone;
  bool is_cancel_requested = false;
  int submit_status = 0;              // HTTP status of the last response to its submission
  double submitted_at = 0;            // time of the first attempt
  double reported_cancelled_at = -1;  // when a response first reported it cancelled; -1: never
  double last_response_at = -1;       // of a response with status 200 or 201; -1: never

  const std::string& id() const { return workload.id; }
  bool is_accepted() const { return submission == Submission::kAccepted; }
  // Returns whether a response has reported the job done or cancelled.
  bool has_final_status() const { return final_status != Outcome::kNone; }
  // Return whether the job may run on machines of the type, or in the zone.
  bool allows_type(const std::string& name) const;
  bool allows_zone(const std::string& name) const { return zone.empty() || zone == name; }
  // Returns how many tasks of a spread job may be in one zone: half of them, rounded up.
  int max_tasks_per_zone() const { return (workload.tasks + 1) / 2; }
};

// By ID.
using UserJobs = std::map<std::string, UserJob>;

// The CPU quota of a team, as in the controllers' settings.
struct TeamQuota {
  double cpus = 0;
  double cpus_max = 0;  // 0: unlimited
};
using TeamQuotas = std::map<std::string, TeamQuota>;

// Returns the CPU limit of a team, or 0 if the team has none or does not exist.
double cpus_max_of(const TeamQuotas& teams, const std::string& team);

}  // namespace standins
