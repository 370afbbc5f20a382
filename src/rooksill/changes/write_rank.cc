#include "rooksill/changes/write_rank.h"

namespace rooksill::changes {

namespace {
constexpr double kDecisionReserveRatio = 0.1;  // that decisions leave to urgent results
constexpr double kGatheredReserveRatio = 0.4;  // that gathered results leave to both
}  // namespace

WriteRank decision_rank(const model::JobSpec& spec) {
  // A gang's placement holds room on many machines until it is written, and all of its tasks wait
  // for it: it goes with the first, as a service's does.
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
