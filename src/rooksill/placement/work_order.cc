#include "rooksill/placement/work_order.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace rooksill::placement {

namespace {
// Seconds by which a job that can meet no objective stands back.
constexpr double kMissedPenalty = 1e6;
// A job without any objective or deadline should be done after so many times its estimate.
constexpr double kEstimates = 4;
}  // namespace

double due_time(const model::Job& job, const std::vector<Objective>& objectives, double now) {
  const model::JobSpec& spec = job.spec;
  double due = std::numeric_limits<double>::infinity();
  double last = 0;
  for (const auto& objective : objectives) {
    if (objective.job_class != spec.job_class) continue;
    double target = 0;
    if (objective.kind == ObjectiveKind::kDeadline && spec.deadline_s)
      target = job.submitted + *spec.deadline_s * objective.deadline_factor;
    else if (objective.kind == ObjectiveKind::kFinished)
      target = job.submitted + objective.within_s;
    else
      continue;
    last = std::max(last, target);
    if (target - spec.estimate_s >= now) due = std::min(due, target);
  }
  if (last == 0) return job.submitted + spec.deadline_s.value_or(kEstimates * spec.estimate_s);
  return std::isinf(due) ? last + kMissedPenalty : due;
}

void sort_by_urgency(std::vector<WaitingShard>& shards) {
  std::sort(shards.begin(), shards.end(), [](const WaitingShard& a, const WaitingShard& b) {
    if (a.job->spec.priority != b.job->spec.priority)
      return a.job->spec.priority > b.job->spec.priority;
    return std::tie(a.due, a.job->spec.id, a.shard) < std::tie(b.due, b.job->spec.id, b.shard);
  });
}

}  // namespace rooksill::placement
