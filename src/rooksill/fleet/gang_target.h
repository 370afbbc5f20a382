// Choice of a partition and zone for all tasks of a gang.
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

// The partition and zone in which a gang is to be placed.
struct GangTarget {
  int partition = kAnyPartition;
  std::string zone;  // empty: any zone
  auto operator<=>(const GangTarget&) const = default;
};

// Returns the partition, and for a one-zone job also the zone, with free space for the most of the
// gang's tasks, among those that have free space or where machines can be rented. Free space
// divided among several partitions cannot be used, because a single owner places all tasks. Unless
// `only_partition` is kAnyPartition, no other partition is considered.
GangTarget choose_gang_target(const model::JobSpec& spec, const std::vector<FreeSpace>& spaces,
                              int only_partition, const store::Replica& replica,
                              const CapacityLimits& capacity_limits);

}  // namespace rooksill::fleet
