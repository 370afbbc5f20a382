// The platform's settings file and the operators' own settings, both JSON, read once at the start.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "rooksill/settings/settings_error.h"

namespace rooksill {

// Another controller of the cluster.
struct PeerAddress {
  std::string label;
  std::string endpoint;  // host:port
};

// What a team is guaranteed and the most that it may use. 0: no such bound.
struct TeamQuota {
  double guaranteed_cpus = 0;
  double max_cpus = 0;
  double guaranteed_gpus = 0;
  double max_gpus = 0;
};

// What the platform measures a class of jobs by.
enum class ObjectiveKind {
  kWait,      // started within `within_s` of the submission
  kDeadline,  // done within `times` the time up to the deadline that the user set
  kFinished,  // done within `within_s` of the submission
  kUnknown,   // not known to this version, and ignored
};

struct Objective {
  ObjectiveKind kind = ObjectiveKind::kUnknown;
  std::string job_class;
  double within_s = 0;
  double target_share = 0;  // that has to meet the objective, 0 to 1
  double deadline_factor = 1;
};

// What the platform hands over. The names on the wire are known to platform.cc only.
struct PlatformSettings {
  // This controller and the others.
  std::string label;
  std::string zone;
  std::string api_address;   // host:port that users and workers connect to
  std::string peer_address;  // host:port that other controllers connect to
  std::vector<PeerAddress> peers;
  int controller_count = 3;  // with this one

  // The cluster.
  std::vector<std::string> zones;
  std::map<std::string, TeamQuota> teams;  // by name
  std::vector<Objective> objectives;

  // Workers: how often they report, for how long they keep tasks without an answer, and within
  // which time all of a cancelled job have to be gone.
  double report_s = 3;
  double lease_s = 30;
  double cancel_deadline_s = 60;
  // How long a gang's task waits for the others, and within which time all of a gang have to be
  // told to stop. 0: the platform does not run gangs.
  double gang_wait_timeout_s = 0;
  double gang_stop_deadline_s = 0;

  // The store: requests and writes per second, of all controllers together.
  std::string store_address;  // host:port
  double store_requests_per_s = 100;
  double store_writes_per_s = 30;
  // The rate of writes once the store has lowered its limits; the same if it will not.
  double store_next_writes_per_s = 30;
  // The smaller of the present and the coming limits: what is written has to fit both.
  size_t store_max_value_bytes = 8192;
  size_t store_max_transaction_ops = 32;
  size_t store_current_max_value_bytes = 8192;

  // The cloud: calls per second, and by how much its list of machines may be out of date.
  std::string cloud_address;  // host:port
  double cloud_calls_per_s = 1;
  double cloud_list_lag_s = 10;

  // What this process may use.
  double max_cores = 1;
  double max_memory_mb = 128;
  int max_sockets = 1000;
  double max_clock_error_s = 0.1;  // most that its wall clock is off by

  // Every controller's label in one order that all of them agree on.
  std::vector<std::string> sorted_labels() const;
};

// The operators' choices; deploy/operator-settings.schema.json says what each means. Times called
// *_reports are in report intervals of the workers.
struct OperatorSettings {
  // The sizing policy.
  double period_reports = 5;
  int horizon_periods = 3;
  double planned_cost = 1;
  double unplanned_cost = 6;
  double holding_cost = 1;
  int max_machines = 0;  // 0: as many machines as the cloud gives
  double demand_cap = 3;
  // Failure detection.
  double leader_ttl_reports = 0.7;
  double peer_timeout_reports = 0.6;
  double machine_timeout_reports = 1.5;
};

struct Settings {
  PlatformSettings platform;
  OperatorSettings operators;
};

// All throw SettingsError.
PlatformSettings parse_platform_settings(const std::string& text);
OperatorSettings parse_operator_settings(const std::string& text);
std::string read_file(const std::string& path);

}  // namespace rooksill
