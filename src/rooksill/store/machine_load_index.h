// What the store says is on each machine, kept up with each change.
#pragma once

#include <set>
#include <string>
#include <unordered_map>

#include "rooksill/model/job.h"
#include "rooksill/model/resources.h"

namespace rooksill::store {

struct MachineLoad {
  std::set<model::TaskRef> tasks;
  model::Resources used;
  double service_cpus = 0;  // of the tasks of services
};

class MachineLoadIndex {
 public:
  // A task of the job came to the machine. Nothing if it is there already.
  void add(const model::Job& job, const model::TaskRef& ref, const std::string& machine);
  // A task of the job left the machine. Nothing if it is not there.
  void remove(const model::Job& job, const model::TaskRef& ref, const std::string& machine);

  // An empty load if nothing is on the machine.
  const MachineLoad& load_on(const std::string& machine) const;

 private:
  std::unordered_map<std::string, MachineLoad> loads_;  // only of machines with tasks
};

}  // namespace rooksill::store
