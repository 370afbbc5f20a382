#include "rooksill/placement/work_order.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace rooksill::placement {

namespace {
// Added to the due time of a job that can meet no objective any more, so that jobs that can still
// meet one come first.
constexpr double kMissedObjectivePenaltySeconds = 1e6;
// Due time of a job without objective and deadline, as a multiple of its estimated run time.
constexpr double kDefaultDeadlineEstimatesRatio = 4;
}  // namespace

double due_time(const model::Job& job, const std::vector<Objective>& objectives, double now) {
  const model::JobSpec& spec = job.spec;
  double earliest_due = std::numeric_limits<double>::infinity();
  double latest_target = 0;
  for (const auto& objective : objectives) {
    if (objective.job_class != spec.job_class) continue;
    double target = 0;
    if (objective.kind == ObjectiveKind::kDeadline && spec.deadline_s)
      target = job.submitted_at + *spec.deadline_s * objective.deadline_factor;
    else if (objective.kind == ObjectiveKind::kFinished)
      target = job.submitted_at + objective.within_s;
    else
      continue;
    latest_target = std::max(latest_target, target);
    if (target - spec.estimate_s >= now) earliest_due = std::min(earliest_due, target);
  }
  if (latest_target == 0)
    return job.submitted_at +
           spec.deadline_s.value_or(kDefaultDeadlineEstimatesRatio * spec.estimate_s);
  return std::isinf(earliest_due) ? latest_target + kMissedObjectivePenaltySeconds : earliest_due;
}

void sort_by_urgency(std::vector<PendingShard>& shards) {
  std::sort(shards.begin(), shards.end(), [](const PendingShard& a, const PendingShard& b) {
    if (a.job->spec.priority != b.job->spec.priority)
      return a.job->spec.priority > b.job->spec.priority;
    return std::tie(a.due_time, a.job->spec.id, a.shard) <
           std::tie(b.due_time, b.job->spec.id, b.shard);
  });
}

}  // namespace rooksill::placement
