// Which machines are released for their own state.
#pragma once

#include <set>

#include "rooksill/fleet/machine_returns.h"
#include "rooksill/fleet/unreachable_machines.h"
#include "rooksill/model/machine.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// Releases machines that never booted, are silent, fail every task, are about to be taken by the
// cloud, or have been drained and are empty.
class MachineReview {
 public:
  MachineReview(runtime::Context& context, const store::Replica& replica, UnreachableMachines& unreachable_machines,
                MachineReturns& returns)
      : context_(context), replica_(replica), unreachable_machines_(unreachable_machines), returns_(returns) {}

  // `suspect_partitions`: their owners may have lost the connection to their machines themselves,
  // so that their word on silent machines does not count.
  void release_unusable(const wire::MachineStatusMap& statuses,
                        const std::set<int>& suspect_partitions);

 private:
  bool has_failed_to_boot(const model::Machine& machine, const wire::MachineStatus& status) const;
  // Why a machine is to be released now; null: it is not.
  const char* release_reason(const model::Machine& machine, const wire::MachineStatus& status,
                             const std::set<int>& suspect_partitions);

  runtime::Context& context_;
  const store::Replica& replica_;
  UnreachableMachines& unreachable_machines_;
  MachineReturns& returns_;
};

}  // namespace rooksill::fleet
