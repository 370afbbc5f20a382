// The two settings files, both JSON and read once at start-up: the platform's settings, which
// describe the cluster, and the operators' settings, which tune the controller.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "rooksill/settings/settings_error.h"

namespace rooksill {

// The address of another controller of the cluster.
struct PeerAddress {
  std::string label;
  std::string endpoint;  // host:port to which this controller connects
};

// The guaranteed and maximum resources of a team. 0: no guarantee or no limit.
struct TeamQuota {
  double guaranteed_cpus = 0;
  double max_cpus = 0;
  double guaranteed_gpus = 0;
  double max_gpus = 0;
};

// The service level that the platform measures for the jobs of a class.
enum class ObjectiveKind {
  kWait,      // started within `within_s` of the submission
  kDeadline,  // done within `deadline_factor` times the user's deadline, counted from submission
  kFinished,  // done within `within_s` of the submission
  kUnknown,   // not known to this version and ignored
};

// A service level objective for a class of jobs.
struct Objective {
  ObjectiveKind kind = ObjectiveKind::kUnknown;
  std::string job_class;
  double within_s = 0;         // kWait, kFinished
  double target_share = 0;     // fraction of the jobs that has to meet the objective, 0 to 1
  double deadline_factor = 1;  // kDeadline
};

// The platform's settings. The names of the fields in the file are known to platform.cc only.
struct PlatformSettings {
  // This controller and its peers.
  std::string label;         // of this controller, unique in the cluster
  std::string zone;          // of this controller
  std::string api_address;   // host:port to which users and workers connect
  std::string peer_address;  // host:port to which other controllers connect
  std::vector<PeerAddress> peers;
  int controller_count = 3;  // this controller included

  // The cluster.
  std::vector<std::string> zones;
  std::map<std::string, TeamQuota> teams;  // by name
  std::vector<Objective> objectives;

  // Workers.
  double report_s = 3;            // interval of their heartbeats
  double lease_s = 30;            // how long they keep tasks running without a response
  double cancel_deadline_s = 60;  // time by which all tasks of a cancelled job must be gone
  // Gangs. 0: the platform does not run gangs.
  double gang_wait_timeout_s = 0;   // how long a task waits for the other tasks of its gang
  double gang_stop_deadline_s = 0;  // time by which all tasks of a gang must receive a stop command

  // The key-value store. The rates are for all controllers together.
  std::string store_address;  // host:port
  double store_requests_per_s = 100;
  double store_writes_per_s = 30;
  // The write rate after the store has lowered its limits; the same if no reduction is planned.
  double store_next_writes_per_s = 30;
  // The smaller of the current and the planned limits, because whatever is written has to fit both.
  size_t store_max_value_bytes = 8192;
  size_t store_max_transaction_ops = 32;
  // The current limit alone.
  size_t store_current_max_value_bytes = 8192;

  // The cloud provider's API.
  std::string cloud_address;  // host:port
  double cloud_calls_per_s = 1;
  double cloud_list_lag_s = 10;  // maximum age of the data in its list of machines

  // Resource limits of this process.
  double max_cores = 1;
  double max_memory_mb = 128;
  int max_sockets = 1000;
  double max_clock_error_s = 0.1;  // maximum error of the machine's wall clock

  // Returns the labels of all controllers, sorted, so that all controllers agree on the order.
  std::vector<std::string> sorted_labels() const;
};

// The operators' settings; deploy/operator-settings.schema.json describes each. Values named
// *_reports are multiples of the workers' heartbeat interval (PlatformSettings::report_s).
struct OperatorSettings {
  // The sizing policy. Costs are relative to each other.
  double period_reports = 5;  // length of a sizing period
  int horizon_periods = 3;    // periods that are planned ahead
  double planned_cost = 1;    // of a planned rental
  double unplanned_cost = 6;  // of an unplanned rental
  double holding_cost = 1;    // of keeping a machine for a period
  int max_pool_machines = 0;  // per pool; 0: as many as the cloud provides
  double demand_cap = 3;      // limit on a period's counted arrivals, as a multiple of their mean
  // Failure detection.
  double leader_ttl_reports = 0.7;       // lifetime of the leader's lease
  double peer_timeout_reports = 0.6;     // until a controller without messages is unreachable
  double machine_timeout_reports = 1.5;  // until a machine without reports is unreachable
};

// All settings of a controller.
struct Settings {
  PlatformSettings platform;
  OperatorSettings operators;
};

// Parses the platform's settings file. Throws SettingsError.
PlatformSettings parse_platform_settings(const std::string& text);
// Parses the operators' settings file. Throws SettingsError.
OperatorSettings parse_operator_settings(const std::string& text);
// Returns the content of a file. Throws SettingsError if it cannot be read.
std::string read_file(const std::string& path);

}  // namespace rooksill
