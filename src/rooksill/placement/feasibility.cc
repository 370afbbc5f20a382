#include "rooksill/placement/feasibility.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rooksill::placement {

namespace {
// Part of an ordinary machine that work which may use spot machines leaves to work which may not.
constexpr double kOrdinaryHeadroom = 0.1;
// Part of the soonest start within which work has to be able to save and go, to need no headroom.
constexpr double kSavedInTime = 0.75;
constexpr double kMaxSlots = 1e6;
}  // namespace

Feasibility::Feasibility(const std::vector<Objective>& objectives)
    : soonest_start_s_(std::numeric_limits<double>::infinity()) {
  for (const auto& objective : objectives)
    if (objective.kind == ObjectiveKind::kWait)
      soonest_start_s_ = std::min(soonest_start_s_, objective.within_s);
}

bool Feasibility::allows(const model::JobSpec& spec, const MachineCapacity& machine) {
  if (machine.spot && !spec.spot) return false;
  if (!spec.zone.empty() && spec.zone != machine.zone) return false;
  return spec.allows_type(machine.type->name);
}

model::Resources Feasibility::headroom(const model::JobSpec& spec,
                                       const MachineCapacity& machine) const {
  if (machine.spot || !spec.spot) return {};
  const double capacity = machine.type->capacity.cpus;
  const double kept = kOrdinaryHeadroom * capacity;
  // Nobody's start is that urgent, or the task needs nearly all of the machine: with headroom it
  // would never run there.
  if (std::isinf(soonest_start_s_) || spec.request.cpus > capacity - kept) return {};
  // Work that saves and is gone before anybody's start is late need not leave anything free.
  if (spec.priority < model::Priority::kUrgent && spec.checkpoint_s > 0 &&
      spec.save_s < kSavedInTime * soonest_start_s_)
    return {};
  return {kept, 0, 0};
}

double Feasibility::free_slots(const model::JobSpec& spec, const MachineCapacity& machine,
                               const model::Resources& set_aside) const {
  const model::Resources available = machine.free - headroom(spec, machine) - set_aside;
  return std::min(kMaxSlots, spec.fitting_tasks(available));
}

}  // namespace rooksill::placement
