// Moves of tasks off draining machines.
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

// Plans moves of service replicas, a few per round to limit the disruption of services, and of
// array tasks that save checkpoints. Tasks that would lose their work are left to finish. Draining
// machines are processed round-robin.
class DrainMoves {
 public:
  DrainMoves(runtime::Context& context, const store::Replica& replica,
             const MachineReturns& returns)
      : context_(context), replica_(replica), returns_(returns) {}

  // Plans the next round of moves.
  void plan_moves(const wire::MachineStatusMap& statuses);
  // Returns the moves planned since the last call and clears them.
  std::vector<wire::TaskMove> extract_moves() { return std::exchange(moves_, {}); }

 private:
  // Remaining limits of one round.
  struct Budget {
    int replicas = 0;     // moves of service replicas
    int array_tasks = 0;  // moves of array tasks
    int checks = 0;       // tasks for which a target machine is searched
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
  std::string last_checked_machine_;  // the round-robin position
};

}  // namespace rooksill::fleet
