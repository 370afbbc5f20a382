// Where a gang's tasks find space together.
#pragma once

#include <compare>
#include <string>
#include <vector>

#include "rooksill/fleet/capacity_limits.h"
#include "rooksill/fleet/free_space.h"
#include "rooksill/fleet/offer.h"
#include "rooksill/model/job.h"
#include "rooksill/store/replica.h"

namespace rooksill::fleet {

struct GangTarget {
  int partition = kAnyPartition;
  std::string zone;  // empty: any
  auto operator<=>(const GangTarget&) const = default;
};

// The partition, and for a job in one zone the zone, with space for all of a gang's tasks, or else
// with the most of it where more can be rented. Space for a part of them in each of several
// partitions is of no use, as one owner places all. With `only_partition` no other is considered.
GangTarget choose_gang_target(const model::JobSpec& spec, const std::vector<FreeSpace>& spaces,
                              int only_partition, const store::Replica& replica,
                              const CapacityLimits& capacity_limits);

}  // namespace rooksill::fleet
