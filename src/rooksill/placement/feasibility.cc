#include "rooksill/placement/feasibility.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rooksill::placement {

namespace {
// Part of an ordinary machine that work which may use spot machines leaves to work which may not.
constexpr double kOrdinaryHeadroomRatio = 0.1;
// Part of the soonest start within which work has to be able to save and go, to need no headroom.
constexpr double kMaxSaveTimeRatio = 0.75;
constexpr double kMaxSlots = 1e6;
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
  // Nobody's start is that urgent, or the task needs nearly all of the machine: with headroom it
  // would never run there.
  if (std::isinf(min_wait_objective_s_) || spec.request.cpus > capacity - headroom_cpus) return {};
  // Work that saves and is gone before anybody's start is late need not leave anything free.
  if (spec.priority < model::Priority::kUrgent && spec.checkpoint_s > 0 &&
      spec.save_s < kMaxSaveTimeRatio * min_wait_objective_s_)
    return {};
  return {headroom_cpus, 0, 0};
}

double Feasibility::free_slots(const model::JobSpec& spec, const MachineCapacity& machine,
                               const model::Resources& reserved) const {
  const model::Resources available = machine.free - headroom(spec, machine) - reserved;
  return std::min(kMaxSlots, spec.tasks_in(available));
}

}  // namespace rooksill::placement
