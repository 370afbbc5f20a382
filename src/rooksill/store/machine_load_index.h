// Index of the tasks on each machine according to the store, updated with every change.
#pragma once

#include <set>
#include <string>
#include <unordered_map>

#include "rooksill/model/job.h"
#include "rooksill/model/resources.h"

namespace rooksill::store {

// The tasks on one machine and the sum of their requests.
struct MachineLoad {
  std::set<model::TaskRef> tasks;
  model::Resources used;
  double service_cpus = 0;  // the part of used.cpus requested by tasks of services
};

// Tracks the load of every machine that has tasks.
class MachineLoadIndex {
 public:
  // Adds a task of the job to the machine. Does nothing if the task is already there.
  void add(const model::Job& job, const model::TaskRef& ref, const std::string& machine);
  // Removes a task of the job from the machine. Does nothing if the task is not there.
  void remove(const model::Job& job, const model::TaskRef& ref, const std::string& machine);

  // Returns the machine's load, which is empty if it has no tasks.
  const MachineLoad& load_on(const std::string& machine) const;

 private:
  std::unordered_map<std::string, MachineLoad> loads_;  // has no entries for machines without tasks
};

}  // namespace rooksill::store
