// A change of one task's state that a partition owner has decided.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "rooksill/model/identifiers.h"

namespace rooksill::changes {

// A machine and the lease of its partition at the time of a decision about the machine.
struct LeasedMachine {
  std::string name;
  int partition = 0;
  model::Revision lease_revision = model::kNoRevision;  // of the lease's key
};

// The placement of a task, or the end of one of its attempts.
struct TaskChange {
  enum class Kind {
    kPlaced,  // the task is placed on the machine, as the given attempt
    kLost,    // the attempt ended on the machine, and the task has to be placed again
    kDone,    // the attempt ended on the machine, and the task is done
  };

  // Returns the placement of a task on the machine.
  static TaskChange placed(std::string machine, int partition, uint64_t attempt) {
    return {Kind::kPlaced, attempt, {std::move(machine), partition}};
  }
  // Returns the loss of an attempt on the machine.
  static TaskChange lost(std::string machine, int partition, uint64_t attempt) {
    return {Kind::kLost, attempt, {std::move(machine), partition}};
  }
  // Returns the completion of a task by an attempt on the machine.
  static TaskChange done(std::string machine, int partition, uint64_t attempt) {
    return {Kind::kDone, attempt, {std::move(machine), partition}};
  }

  Kind kind = Kind::kPlaced;
  uint64_t attempt = 0;
  LeasedMachine machine;

  // The queue sets the members below, and the lease revision of `machine`, when the change is
  // added.

  // Only for a placement that also records the loss of the previous attempt: the machine that
  // reported that attempt gone.
  std::optional<LeasedMachine> previous_machine;
  // Only for a placement: the newest revision among the keys that it was decided on. See
  // placement_basis_revision().
  model::Revision basis_revision = model::kNoRevision;
};

}  // namespace rooksill::changes
