// Moves of tasks off machines that are being drained.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "rooksill/fleet/machine_returns.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// Moves replicas a few at a time, so that users hardly notice, and likewise tasks that save their
// progress. Tasks that would lose their work are left to finish. The machines take turns.
class DrainMoves {
 public:
  DrainMoves(runtime::Context& context, const store::Replica& replica,
             const MachineReturns& returns)
      : context_(context), replica_(replica), returns_(returns) {}

  // Plans the next moves.
  void plan_moves(const wire::MachineStatusMap& statuses);
  // The moves planned since the last call.
  std::vector<wire::TaskMove> pop_moves() { return std::exchange(moves_, {}); }

 private:
  // How many tasks may still be moved, and looked at, in one round.
  struct Budget {
    int replicas = 0;
    int array_tasks = 0;
    int checks = 0;
    bool is_exhausted() const { return checks <= 0 || replicas + array_tasks <= 0; }
  };

  void plan_moves_off(const model::Machine& from, const wire::MachineStatusMap& statuses,
                      Budget& budget);
  bool can_move(const model::Job& job) const;
  bool has_target(const model::Job& job, const model::Machine& from,
                  const wire::MachineStatusMap& statuses) const;

  runtime::Context& context_;
  const store::Replica& replica_;
  const MachineReturns& returns_;
  std::vector<wire::TaskMove> moves_;
  std::string last_checked_machine_;  // whose tasks were looked at
};

}  // namespace rooksill::fleet
