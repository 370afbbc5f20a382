#include "rooksill/placement/feasibility.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rooksill::placement {

namespace {
// The fraction of an ordinary (non-spot) machine's CPUs that jobs which may use spot machines leave
// free for jobs which may not.
constexpr double kOrdinaryHeadroomRatio = 0.1;
// Jobs leave no headroom if they can save a checkpoint and exit within this fraction of the
// shortest waiting time among the objectives.
constexpr double kMaxSaveTimeRatio = 0.75;
constexpr double kMaxSlots = 1e6;  // per machine and job
}  // namespace

Feasibility::Feasibility(const std::vector<Objective>& objectives)
    : min_wait_objective_s_(std::numeric_limits<double>::infinity()) {
  for (const auto& objective : objectives)
    if (objective.kind == ObjectiveKind::kWait)
      min_wait_objective_s_ = std::min(min_wait_objective_s_, objective.within_s);
}

bool Feasibility::allows(const model::JobSpec& spec, const MachineCapacity& machine) {
  if (machine.is_spot && !spec.spot) return false;
  if (!spec.zone.empty() && spec.zone != machine.zone) return false;
  return spec.allows_type(machine.type->name);
}

model::Resources Feasibility::headroom(const model::JobSpec& spec,
                                       const MachineCapacity& machine) const {
  if (machine.is_spot || !spec.spot) return {};
  const double capacity = machine.type->capacity.cpus;
  const double headroom_cpus = kOrdinaryHeadroomRatio * capacity;
  // No headroom without an objective for waiting times, nor for tasks that need nearly all of the
  // machine: they could never run there.
  if (std::isinf(min_wait_objective_s_) || spec.request.cpus > capacity - headroom_cpus) return {};
  // Preemptible work with checkpoints that can save and exit before another job's start is late
  // need not leave headroom.
  if (spec.priority < model::Priority::kUrgent && spec.checkpoint_s > 0 &&
      spec.save_s < kMaxSaveTimeRatio * min_wait_objective_s_)
    return {};
  return {headroom_cpus, 0, 0};
}

double Feasibility::free_slots(const model::JobSpec& spec, const MachineCapacity& machine,
                               const model::Resources& reserved) const {
  const model::Resources available = machine.free - headroom(spec, machine) - reserved;
  return std::min(kMaxSlots, spec.fitting_tasks(available));
}

}  // namespace rooksill::placement
