// In which order shards of jobs look for places.
#pragma once

#include <cstdint>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/settings/settings.h"

namespace rooksill::placement {

// A shard with tasks that need a place.
struct PendingShard {
  const model::Job* job = nullptr;
  uint32_t shard = 0;
  double due_time = 0;  // wall clock
};

// When the job should be done, by the wall clock: the first objective of its class that it can
// still meet. A job that can meet none is due long after all that can.
double due_time(const model::Job& job, const std::vector<Objective>& objectives, double now);

// By priority, then by due time. Ties go by the job's id, so that every owner has the same order.
void sort_by_urgency(std::vector<PendingShard>& shards);

}  // namespace rooksill::placement
