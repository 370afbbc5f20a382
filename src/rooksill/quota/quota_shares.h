// How a team's limit is divided among the partitions.
#pragma once

#include <cstdint>
#include <string>

#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/settings/settings.h"
#include "rooksill/store/replica.h"

namespace rooksill::quota {

// What a partition may use of a team's limit: by the state's record if there is one, else an even
// share. A limit too small for every partition to run two of the largest machine's tasks lies with
// one partition at first. 0 means no limit in the settings; here a limit that is not set is
// infinite.
model::QuotaShare quota_share(const Settings& settings, const store::Replica& replica,
                              const std::string& team, int partition);

// The partition with all or most of a limit too small to be divided evenly; -1: it is divided.
int sole_partition(const Settings& settings, const store::Replica& replica,
                   const std::string& team);

// The partition that places a shard of a job while no leader routes it: the same on every
// controller, and after two reports of waiting the next one.
int fallback_partition(const Settings& settings, const store::Replica& replica,
                       const model::Job& job, uint32_t shard, double wall);

}  // namespace rooksill::quota
