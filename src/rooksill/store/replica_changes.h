// What has changed in a replica since its readers last looked.
#pragma once

#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace rooksill::store {

// What a shard's change meant for one task, for the estimates of demand.
struct TaskEvent {
  enum class Kind {
    kFirstPlaced,  // its first attempt is on a machine
    kDone,
    kLeft  // a machine, after its job was over
  } kind;
  std::string job;
  std::string machine;  // that the task is or was on; empty: none
};

// Gathered while changes are applied. Each reader empties what it has read.
struct ReplicaChanges {
  std::vector<TaskEvent> events;  // in the order of the changes
  std::set<std::string> changed_jobs;
  std::unordered_set<std::string> changed_machines;
  std::vector<std::string> cancelled;  // jobs, in the order in which this was learned
};

}  // namespace rooksill::store
