// What can be rented from the cloud.
#pragma once

#include <compare>
#include <string>

#include "rooksill/model/machine.h"

namespace rooksill::fleet {

// Stands for "whichever partition has the fewest machines".
inline constexpr int kAnyPartition = -1;

// Machines of one type that are all spot machines or all ordinary ones. Each pool is sized by
// itself.
struct InstancePool {
  std::string type;
  bool spot = false;
  auto operator<=>(const InstancePool&) const = default;
};

// A pool in one zone: the unit of a rental request, and of the cloud's capacity.
struct Offer {
  InstancePool pool;
  std::string zone;
  auto operator<=>(const Offer&) const = default;
};

inline bool is_of_offer(const model::Machine& machine, const Offer& offer) {
  return machine.type == offer.pool.type && machine.spot == offer.pool.spot &&
         machine.zone == offer.zone;
}

// For log lines.
inline const char* pool_kind_name(const InstancePool& pool) { return pool.spot ? "spot" : "ordinary"; }

}  // namespace rooksill::fleet
