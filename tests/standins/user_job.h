// A job as its user knows it.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/workload.h"

namespace standins {

enum class Submission { kPending, kAccepted, kRejected, kTimedOut };

// The last final status that a user was told; later answers may not differ from it.
enum class Outcome { kNone, kDone, kCancelled };

struct UserJob {
  Workload workload;
  nlohmann::json body;  // of the submission
  std::string team, job_class;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  bool spot = false, spread = false, one_zone = false;

  Submission submission = Submission::kPending;
  Outcome outcome = Outcome::kNone;
  bool cancel_requested = false;
  int submit_status = 0;          // of the last answer to its submission
  double submitted_at = 0;        // first try
  double reported_cancelled_at = -1;  // -1: never
  double last_response_at = -1;   // with 200 or 201; -1: never

  const std::string& id() const { return workload.id; }
  bool is_accepted() const { return submission == Submission::kAccepted; }
  bool has_final_status() const { return outcome != Outcome::kNone; }
  bool allows_type(const std::string& name) const;
  bool allows_zone(const std::string& name) const { return zone.empty() || zone == name; }
  // How many tasks of a spread job may be in one zone: half of them, rounded up.
  int max_tasks_per_zone() const { return (workload.tasks + 1) / 2; }
};

// By ID.
using UserJobs = std::map<std::string, UserJob>;

struct TeamQuota {
  double cpus = 0;
  double cpus_max = 0;  // 0: unlimited
};
using TeamQuotas = std::map<std::string, TeamQuota>;

// 0 for a team without a limit, and for one that does not exist.
double cpus_max_of(const TeamQuotas& teams, const std::string& team);

}  // namespace standins
