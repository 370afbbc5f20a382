// Release of unusable machines.
#pragma once

#include <set>

#include "rooksill/fleet/machine_returns.h"
#include "rooksill/fleet/unreachable_machines.h"
#include "rooksill/model/machine.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// Releases machines that did not boot, are unreachable, fail every task, are about to be reclaimed
// by the cloud and run no task, or are drained.
class MachineReview {
 public:
  MachineReview(runtime::Context& context, const store::Replica& replica,
                UnreachableMachines& unreachable_machines, MachineReturns& returns)
      : context_(context),
        replica_(replica),
        unreachable_machines_(unreachable_machines),
        returns_(returns) {}

  // Releases all unusable machines. `suspect_partitions`: partitions whose owners may have lost
  // their own connection to the machines, so that their reports of unreachable machines are
  // ignored.
  void release_unusable(const wire::MachineStatusMap& statuses,
                        const std::set<int>& suspect_partitions);

 private:
  bool has_failed_to_boot(const model::Machine& machine, const wire::MachineStatus& status) const;
  // Returns why the machine is to be released now, or null if it is to be kept.
  const char* release_reason(const model::Machine& machine, const wire::MachineStatus& status,
                             const std::set<int>& suspect_partitions);

  runtime::Context& context_;
  const store::Replica& replica_;
  UnreachableMachines& unreachable_machines_;
  MachineReturns& returns_;
};

}  // namespace rooksill::fleet
