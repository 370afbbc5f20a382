// Machines that can be rented from the cloud.
#pragma once

#include <compare>
#include <string>

#include "rooksill/model/machine.h"

namespace rooksill::fleet {

// Any partition. A rental without a partition is assigned to the one with the fewest machines.
inline constexpr int kAnyPartition = -1;

// The machines of one type that are all spot machines or all ordinary ones. Each pool is sized
// independently.
struct InstancePool {
  std::string type;  // name of the machine type
  bool spot = false;
  auto operator<=>(const InstancePool&) const = default;
};

// A pool in one zone. A rental request is for one offer, and the cloud's capacity is per offer.
struct Offer {
  InstancePool pool;
  std::string zone;
  auto operator<=>(const Offer&) const = default;
};

// Returns whether the machine is of the offer's type, kind and zone.
inline bool is_of_offer(const model::Machine& machine, const Offer& offer) {
  return machine.type == offer.pool.type && machine.spot == offer.pool.spot &&
         machine.zone == offer.zone;
}

// Returns the kind of the pool's machines for log lines.
inline const char* pool_kind_name(const InstancePool& pool) {
  return pool.spot ? "spot" : "ordinary";
}

}  // namespace rooksill::fleet
