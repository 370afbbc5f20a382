// Routing without a leader.
#pragma once

#include <cstdint>

#include "rooksill/model/job.h"
#include "rooksill/settings/settings.h"
#include "rooksill/store/replica.h"

namespace rooksill::routing {

// The partition that places a shard of a job while no leader routes it. The same on every
// controller that has the same records, without any message between them. The next partition's turn
// comes after two report periods, so that a shard that finds no room is tried everywhere.
// Partitions whose share of the team's quota takes none of its tasks are passed over.
// `wall_time`: seconds of the wall clock; turns are counted from the job's submission.
int fallback_partition(const Settings& settings, const store::Replica& replica,
                       const model::Job& job, uint32_t shard, double wall_time);

}  // namespace rooksill::routing
