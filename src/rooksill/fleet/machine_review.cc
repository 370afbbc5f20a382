#include "rooksill/fleet/machine_review.h"

namespace rooksill::fleet {

namespace {
// A machine that has sent no heartbeat after this multiple of its type's boot time is released.
constexpr double kFailedBootRatio = 4.0;
}  // namespace

void MachineReview::release_unusable(const wire::MachineStatusMap& statuses,
                                     const std::set<int>& suspect_partitions) {
  for (const auto& [name, machine] : replica_.machines()) {
    if (returns_.is_leaving(name)) continue;
    const auto status = statuses.find(name);
    if (status == statuses.end()) continue;  // not reported by its owner yet
    const char* reason = release_reason(machine, status->second, suspect_partitions);
    if (reason != nullptr) returns_.release(name, reason);
  }
}

const char* MachineReview::release_reason(const model::Machine& machine,
                                          const wire::MachineStatus& status,
                                          const std::set<int>& suspect_partitions) {
  if (has_failed_to_boot(machine, status)) return "did not boot";
  const bool is_owner_suspect = suspect_partitions.count(machine.partition) != 0;
  if (status.is_unreachable && !is_owner_suspect && unreachable_machines_.claim_release(machine))
    return "unreachable";
  if (status.is_faulty) return "fails every task";
  if (status.has_termination_notice && status.task_count == 0)
    return "termination notice, no tasks";
  if (status.is_draining && returns_.is_draining(machine.name) && status.task_count == 0)
    return "drained";
  return nullptr;
}

bool MachineReview::has_failed_to_boot(const model::Machine& machine,
                                       const wire::MachineStatus& status) const {
  if (status.is_up || status.task_count != 0) return false;
  const auto type = replica_.types.find(machine.type);
  const double boot_s =
      type != replica_.types.end() ? type->second.boot_s : context_.settings.platform.lease_s;
  return context_.now.wall - machine.rented_at > kFailedBootRatio * boot_s;
}

}  // namespace rooksill::fleet
