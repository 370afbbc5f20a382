// The order in which pending shards are placed.
#pragma once

#include <cstdint>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/settings/settings.h"

namespace rooksill::placement {

// A shard with tasks to be placed.
struct PendingShard {
  const model::Job* job = nullptr;
  uint32_t shard = 0;   // index in the job
  double due_time = 0;  // wall clock, in seconds; see due_time()
};

// Returns when the job should be finished, in seconds of the wall clock: the earliest objective of
// its class that it can still meet. A job that can meet none is due long after all jobs that can.
// Without an objective, the job's own deadline or a multiple of its estimated run time applies.
double due_time(const model::Job& job, const std::vector<Objective>& objectives, double now);

// Sorts by descending priority, then by due time. Ties are broken by job id and shard, so that all
// partition owners use the same order.
void sort_by_urgency(std::vector<PendingShard>& shards);

}  // namespace rooksill::placement
