#include "rooksill/fleet/machine_review.h"

namespace rooksill::fleet {

namespace {
// Boot times of its type after which a machine that has not reported is released.
constexpr double kFailedBootTimes = 4.0;
}  // namespace

void MachineReview::release_unusable(const wire::MachineStatusMap& statuses,
                                     const std::set<int>& suspect_partitions) {
  for (const auto& [name, machine] : replica_.machines) {
    if (returns_.is_leaving(name)) continue;
    const auto status = statuses.find(name);
    if (status == statuses.end()) continue;  // its owner has not reported: nothing is known
    const char* reason = release_reason(machine, status->second, suspect_partitions);
    if (reason != nullptr) returns_.release(name, reason);
  }
}

const char* MachineReview::release_reason(const model::Machine& machine,
                                          const wire::MachineStatus& status,
                                          const std::set<int>& suspect_partitions) {
  if (failed_to_boot(machine, status)) return "never came up";
  const bool owner_suspect = suspect_partitions.count(machine.partition) != 0;
  if (status.is_unreachable && !owner_suspect && silent_.claim_release(machine)) return "silent";
  if (status.is_faulty) return "fails every task";
  if (status.has_termination_notice && status.task_count == 0) return "to be taken, and empty";
  if (status.is_draining && returns_.is_draining(machine.name) && status.task_count == 0) return "idle";
  return nullptr;
}

bool MachineReview::failed_to_boot(const model::Machine& machine,
                                   const wire::MachineStatus& status) const {
  if (status.is_up || status.task_count != 0) return false;
  const auto type = replica_.types.find(machine.type);
  const double boot_s =
      type != replica_.types.end() ? type->second.boot_s : context_.settings.platform.lease_s;
  return context_.now.wall - machine.rented > kFailedBootTimes * boot_s;
}

}  // namespace rooksill::fleet
