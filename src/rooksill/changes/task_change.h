// A change of one task's state, as an owner of partitions decided it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "rooksill/model/identifiers.h"

namespace rooksill::changes {

// A machine, with the lease of its partition under which something was decided about it.
struct LeasedMachine {
  std::string name;
  int partition = 0;
  model::Revision lease_revision = model::kNoRevision;  // revision of the lease's key
};

struct TaskChange {
  enum class Kind {
    kPlaced,  // the task gets a place on the machine, with the attempt's number
    kLost,    // the attempt ended on the machine and the task is not done: it needs another place
    kDone,    // the attempt ended on the machine and the task is done
  };

  static TaskChange placed(std::string machine, int partition, uint64_t attempt) {
    return {Kind::kPlaced, attempt, {std::move(machine), partition}};
  }
  static TaskChange lost(std::string machine, int partition, uint64_t attempt) {
    return {Kind::kLost, attempt, {std::move(machine), partition}};
  }
  static TaskChange done(std::string machine, int partition, uint64_t attempt) {
    return {Kind::kDone, attempt, {std::move(machine), partition}};
  }

  Kind kind = Kind::kPlaced;
  uint64_t attempt = 0;
  LeasedMachine machine;

  // The rest is filled in by the queue that takes the change.

  // Of a placement that also records the loss of the attempt before: the machine that reported
  // that attempt gone.
  std::optional<LeasedMachine> previous_machine;
  // Of a placement: the newest revision among the keys that it was decided on.
  model::Revision basis_revision = model::kNoRevision;
};

}  // namespace rooksill::changes
