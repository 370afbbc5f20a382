// The changes applied to a replica that have not been processed yet.
#pragma once

#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace rooksill::store {

// A change of one task's state, used for demand estimates.
struct TaskEvent {
  enum class Kind {
    kFirstPlaced,  // the first attempt was placed on a machine
    kDone,
    kLeft  // the task was removed from its machine after its job had ended
  } kind;
  std::string job;
  std::string machine;  // the machine that the task is or was on; empty: none
};

// Collects changes while they are applied to the replica. Each consumer clears what it has
// processed.
struct ReplicaChanges {
  std::vector<TaskEvent> events;       // in the order in which the changes were applied
  std::set<std::string> changed_jobs;  // ids
  std::unordered_set<std::string> changed_machines;  // names
  std::vector<std::string> cancelled;  // job ids, in the order in which they became known as such
};

}  // namespace rooksill::store
