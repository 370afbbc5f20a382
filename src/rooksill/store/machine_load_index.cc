#include "rooksill/store/machine_load_index.h"

namespace rooksill::store {

void MachineLoadIndex::add(const model::Job& job, const model::TaskRef& ref,
                           const std::string& machine) {
  MachineLoad& load = loads_[machine];
  if (!load.tasks.insert(ref).second) return;
  load.used += job.spec.request;
  if (job.spec.shape == model::Shape::kService) load.service_cpus += job.spec.request.cpus;
}

void MachineLoadIndex::remove(const model::Job& job, const model::TaskRef& ref,
                              const std::string& machine) {
  auto it = loads_.find(machine);
  if (it == loads_.end() || it->second.tasks.erase(ref) == 0) return;
  MachineLoad& load = it->second;
  if (load.tasks.empty()) {  // resets the rounding error that sums of fractions accumulate
    loads_.erase(it);
    return;
  }
  load.used -= job.spec.request;
  if (job.spec.shape == model::Shape::kService) load.service_cpus -= job.spec.request.cpus;
}

const MachineLoad& MachineLoadIndex::load_on(const std::string& machine) const {
  static const MachineLoad kNone;
  auto it = loads_.find(machine);
  return it == loads_.end() ? kNone : it->second;
}

}  // namespace rooksill::store
