// The figures of a simulated deployment.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace standins {

// Limits that the key-value store enforces.
struct StoreLimits {
  double writes_per_s = 90;
  size_t transaction_writes = 32;
  size_t value_bytes = 8192;
};

struct WorldOptions {
  size_t controllers = 3;
  double heartbeat_s = 1, lease_s = 8;  // of workers
  double cancel_s = 15;                 // from the answer `cancelled` until no task runs any more
  double gang_wait_s = 12, gang_peer_s = 2;
  double store_requests_per_s = 300;
  StoreLimits store_limits;
  // The lower limits that the store has announced, if it has.
  std::optional<StoreLimits> announced_store_limits;
  double cloud_requests_per_s = 5;
  double cloud_list_lag_s = 3;  // how old the cloud's list of machines may be
  uint64_t seed = 1;
  bool verbose = false;        // print the controllers' logs
  bool first_version = false;  // the controllers start with the version before upgrade records
};

}  // namespace standins
