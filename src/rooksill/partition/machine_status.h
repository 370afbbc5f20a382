// Status of owned machines, as published to the leader and summarized in the log.
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "rooksill/agent/worker.h"
#include "rooksill/model/resources.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::partition {

// The partition owner's decisions about a machine, in addition to its worker's report.
struct MachineAvailability {
  bool is_draining = false;     // the machine gets no new tasks and its tasks are moved away
  bool is_schedulable = false;  // tasks may currently be placed on the machine
};

// Returns the status that is published to the leader. It shows no free CPUs for a machine that is
// not schedulable.
wire::MachineStatus machine_status(const agent::Worker& worker,
                                   const placement::MachineCapacity& capacity,
                                   const MachineAvailability& availability,
                                   const store::Replica& replica);

// Accumulates totals over the owned machines for the log.
class MachineSummary {
 public:
  // Adds a machine. `placed_tasks` is the number of tasks that the store has placed on it.
  void add(const agent::Worker& worker, const placement::MachineCapacity& capacity,
           bool is_schedulable, size_t placed_tasks);
  // Returns the totals as one log line.
  std::string to_string() const;

 private:
  static constexpr size_t kTaskPhases = 5;  // values of wire::TaskPhase

  size_t total_machines_ = 0;
  size_t reporting_machines_ = 0;  // have sent at least one heartbeat to this owner
  size_t schedulable_ = 0;
  size_t commands_in_flight_ = 0;  // machines with an unacknowledged command
  size_t placed_tasks_ = 0;
  std::array<size_t, kTaskPhases> tasks_by_phase_{};  // as the workers reported them
  // Totals over the schedulable machines.
  double cpus_ = 0;
  double free_cpus_ = 0;
};

}  // namespace rooksill::partition
