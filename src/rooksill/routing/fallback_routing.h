// Routing of job shards to partitions while there is no reachable leader.
#pragma once

#include <cstdint>

#include "rooksill/model/job.h"
#include "rooksill/settings/settings.h"
#include "rooksill/store/replica.h"

namespace rooksill::routing {

// Returns the partition that places a shard of a job while no leader routes it. All controllers
// with the same store records compute the same partition without exchanging messages. The partition
// changes every two heartbeat intervals, so that a shard that finds no capacity is tried in every
// partition. Partitions whose share of the team's quota is smaller than one of the job's tasks are
// skipped. `wall_time`: seconds of the wall clock; turns are counted from the job's submission.
int fallback_partition(const Settings& settings, const store::Replica& replica,
                       const model::Job& job, uint32_t shard, double wall_time);

}  // namespace rooksill::routing
