// What an owner of partitions says of its machines: to the leader, and in the log.
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

// What the owner decided about a machine, besides what its worker reported.
struct MachineAvailability {
  bool is_draining = false;     // it is being emptied
  bool is_schedulable = false;  // tasks may be placed on it now
};

// The status that is published to the leader. A machine that takes no tasks has no free CPUs there.
wire::MachineStatus machine_status(const agent::Worker& worker,
                                   const placement::MachineCapacity& capacity,
                                   const MachineAvailability& availability,
                                   const store::Replica& replica);

// Sums over the machines owned, for the log.
class MachineSummary {
 public:
  // `placed_tasks`: how many the store has there.
  void add(const agent::Worker& worker, const placement::MachineCapacity& capacity,
           bool is_schedulable, size_t placed_tasks);
  std::string to_string() const;

 private:
  static constexpr size_t kTaskPhases = 5;  // values of wire::TaskPhase

  size_t total_machines_ = 0;
  size_t reporting_machines_ = 0;
  size_t schedulable_ = 0;
  size_t commands_in_flight_ = 0;
  size_t placed_tasks_ = 0;
  std::array<size_t, kTaskPhases> tasks_by_phase_{};  // as the workers reported them
  // Of the machines that take tasks.
  double cpus_ = 0;
  double free_cpus_ = 0;
};

}  // namespace rooksill::partition
