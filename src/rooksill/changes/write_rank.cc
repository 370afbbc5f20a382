#include "rooksill/changes/write_rank.h"

namespace rooksill::changes {

namespace {
constexpr double kDecisionReserveRatio = 0.1;  // left by decisions to urgent results
constexpr double kGatheredReserveRatio = 0.4;  // left by gathered results to both
}  // namespace

WriteRank decision_rank(const model::JobSpec& spec) {
  // Until a gang's placement is written, it reserves capacity on many machines and all tasks of the
  // gang wait for it. So it has the rank of a service's placement, whatever its priority.
  if (spec.shape == model::Shape::kGang) return WriteRank::kProdDecision;
  switch (spec.priority) {
    case model::Priority::kProd:
      return WriteRank::kProdDecision;
    case model::Priority::kUrgent:
      return WriteRank::kUrgentDecision;
    case model::Priority::kStandard:
      return WriteRank::kStandardDecision;
    case model::Priority::kIdle:
      break;
  }
  return WriteRank::kIdleDecision;
}

double reserved_ratio(WriteRank rank) {
  if (rank == WriteRank::kUrgentResult) return 0;
  return rank < WriteRank::kGatheredResult ? kDecisionReserveRatio : kGatheredReserveRatio;
}

const char* counter_name(WriteRank rank) {
  if (rank == WriteRank::kUrgentResult) return "results";
  return rank < WriteRank::kGatheredResult ? "decisions" : "gathered";
}

}  // namespace rooksill::changes
