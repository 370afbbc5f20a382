// The order in which changes of shards are written when the store's limits do not allow writing all
// of them at once.
#pragma once

#include "rooksill/model/job.h"

namespace rooksill::changes {

// Written first are results that complete a job or would be lost with their machine; then decisions
// (placements and losses) by the job's priority. Results that complete nothing are gathered into
// batches and written when the store has capacity to spare.
enum class WriteRank {
  kUrgentResult,
  kProdDecision,
  kUrgentDecision,
  kStandardDecision,
  kIdleDecision,
  kGatheredResult,
};

// Returns the rank of placements and losses of the job's tasks.
WriteRank decision_rank(const model::JobSpec& spec);

// Returns the fraction of the store's limits that changes of this rank leave unused for changes
// that rank before them.
double reserved_ratio(WriteRank rank);

// Returns the name of the counter for shards written with this rank.
const char* counter_name(WriteRank rank);

}  // namespace rooksill::changes
