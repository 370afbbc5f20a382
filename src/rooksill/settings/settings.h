// The platform's settings file and the operators' own settings.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace rooksill {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct PeerAddress {
  std::string label;
  std::string endpoint;
};

struct TeamQuota {
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0, times = 1;
};

// What the platform hands over. Wire names are known to platform.cc only.
struct PlatformSettings {
  std::string label, zone, api_address, back_address;
  std::vector<PeerAddress> peers;
  std::string cloud_address, state_address;
  std::vector<std::string> zones;
  std::map<std::string, TeamQuota> teams;
  std::vector<Objective> objectives;
  int controllers = 3;
  double report_s = 3, lease_s = 30, cancel_s = 60;
  // How long a gang's task waits for the others, and within which time all of a gang have to be
  // told to stop. 0: the platform does not run gangs.
  double gang_wait_s = 0, gang_peer_s = 0;
  double state_rps = 100, state_write_rps = 30;
  // The store's rate of changes once it has lowered its limits; the same if it will not.
  double state_next_write_rps = 30;
  // The smaller of the present and the coming limits: what is written has to fit both.
  size_t state_value_bytes = 8192, state_txn_ops = 32;
  size_t state_present_value_bytes = 8192;
  double cloud_rps = 1, cloud_list_lag_s = 10;
  double cores = 1, memory_mb = 128;
  int max_sockets = 1000;
  double clock_error_s = 0.1;

  // Every controller's label in one order that all of them agree on.
  std::vector<std::string> labels() const;
};

struct OperatorSettings {
  double period_reports = 5;
  int periods = 3;
  double planned_cost = 1, unplanned_cost = 6, holding_cost = 1;
  int ceiling = 0;  // 0: as many as the cloud gives
  double demand_cap = 3;
  double leader_ttl_reports = 0.7, peer_silence_reports = 0.6, machine_silence_reports = 1.5;
};

struct Settings {
  PlatformSettings platform;
  OperatorSettings operators;
};

PlatformSettings parse_platform(const std::string& text);
OperatorSettings parse_operators(const std::string& text);
std::string read_file(const std::string& path);

}  // namespace rooksill
