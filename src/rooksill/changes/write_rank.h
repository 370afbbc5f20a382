// The order in which shards' changes are written when the store's limits do not allow all at once.
#pragma once

#include "rooksill/model/job.h"

namespace rooksill::changes {

// Results that complete a job, or would be lost with their machine, come first; then decisions
// (placements and losses) by the job's priority; results that complete nothing are gathered until
// there are writes to spare.
enum class WriteRank {
  kUrgentResult,
  kProdDecision,
  kUrgentDecision,
  kStandardDecision,
  kIdleDecision,
  kGatheredResult,
};

// The rank of placements and losses of a job's tasks.
WriteRank decision_rank(const model::JobSpec& spec);

// The part of the store's limits that changes of this rank leave to those that come before them.
double reserved_ratio(WriteRank rank);

// The name under which shards written with this rank are counted in the log.
const char* counter_name(WriteRank rank);

}  // namespace rooksill::changes
