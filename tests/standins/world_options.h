// Options of a simulated deployment.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace standins {

// Limits that the key-value store enforces or checks.
struct StoreLimits {
  double writes_per_s = 90;
  size_t transaction_writes = 32;  // maximum number of writes in one transaction
  size_t value_bytes = 8192;       // maximum size of one value
};

// Sizes, protocol times and limits of a deployment.
struct WorldOptions {
  size_t controllers = 3;   // number of controllers
  double heartbeat_s = 1;   // interval of worker heartbeats
  double lease_s = 8;       // lease of a worker; it ends all its tasks when the lease expires
  double cancel_s = 15;     // limit from the response `withdrawn` until no task of the job runs
  double gang_wait_s = 12;  // time a gang task waits for the other tasks of its gang to be ready
  double gang_peer_s = 2;   // time within which gang tasks notice the loss or stop of another task
  double store_requests_per_s = 300;  // request rate above which the store responds 429
  StoreLimits store_limits;
  // The limits that the store has announced to apply later, lower than store_limits, if any.
  std::optional<StoreLimits> announced_store_limits;
  double cloud_requests_per_s = 5;  // request rate above which the cloud responds 429
  double cloud_list_lag_s = 3;      // maximum age of the machine list that the cloud returns
  uint64_t seed = 1;
  bool verbose = false;  // print the controllers' logs to stderr
  // Start all controllers with the first version, which predates upgrade records.
  bool first_version = false;
};

}  // namespace standins
