#include "standins/deployment_settings.h"

namespace standins {

using rooksill::PlatformSettings;

namespace {

std::string label_of(size_t controller) { return "c" + std::to_string(controller); }

void set_store_limits(PlatformSettings& platform, const StoreLimits& current,
                      const StoreLimits& announced) {
  platform.store_writes_per_s = current.writes_per_s;
  platform.store_next_writes_per_s = announced.writes_per_s;
  platform.store_max_transaction_ops = announced.transaction_writes;
  platform.store_current_max_value_bytes = current.value_bytes;
  platform.store_max_value_bytes = announced.value_bytes;
}

PlatformSettings make_platform(size_t controller, const WorldOptions& options,
                               const std::vector<std::string>& zones, const TeamQuotas& teams) {
  PlatformSettings platform;
  platform.label = label_of(controller);
  platform.store_address = "state:1";
  platform.cloud_address = "cloud:1";
  for (size_t i = 0; i < options.controllers; ++i)
    if (i != controller) platform.peers.push_back({label_of(i), label_of(i) + ":2"});
  platform.controller_count = static_cast<int>(options.controllers);
  platform.zones = zones;
  for (const auto& [name, quota] : teams) platform.teams[name] = {quota.cpus, quota.cpus_max, 0, 0};
  platform.report_s = options.heartbeat_s;
  platform.lease_s = options.lease_s;
  platform.cancel_deadline_s = options.cancel_s;
  platform.gang_wait_timeout_s = options.gang_wait_s;
  platform.gang_stop_deadline_s = options.gang_peer_s;
  platform.store_requests_per_s = options.store_requests_per_s;
  platform.cloud_calls_per_s = options.cloud_requests_per_s;
  platform.cloud_list_lag_s = options.cloud_list_lag_s;
  return platform;
}

}  // namespace

std::vector<ControllerSettings> make_settings(const WorldOptions& options,
                                              const std::vector<std::string>& zones,
                                              const TeamQuotas& teams) {
  const StoreLimits& current = options.store_limits;
  const StoreLimits announced = options.announced_store_limits.value_or(current);
  std::vector<ControllerSettings> all;
  for (size_t i = 0; i < options.controllers; ++i) {
    ControllerSettings settings;
    settings.first.platform = make_platform(i, options, zones, teams);
    settings.current = settings.first;
    set_store_limits(settings.first.platform, current, current);
    set_store_limits(settings.current.platform, current, announced);
    all.push_back(std::move(settings));
  }
  return all;
}

}  // namespace standins
