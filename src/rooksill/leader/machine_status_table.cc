#include "rooksill/leader/machine_status_table.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "rooksill/store/machine_directory.h"

namespace rooksill::leader {

bool MachineStatusTable::owns_machine(const std::string& label, const std::string& machine) const {
  const model::Machine* known = replica_.machine(machine);
  return known != nullptr && replica_.leases[static_cast<size_t>(known->partition)].owner == label;
}

void MachineStatusTable::record(const std::string& publisher,
                                std::vector<wire::MachineStatus> machines) {
  for (wire::MachineStatus& status : machines) {
    if (!owns_machine(publisher, status.name)) continue;
    const std::string name = status.name;
    statuses_[name] = {std::move(status), publisher};
  }
}

void MachineStatusTable::remove_stale() {
  std::erase_if(statuses_, [this](const auto& entry) {
    return !owns_machine(entry.second.publisher, entry.first);
  });
}

void MachineStatusTable::derive_from_store() {
  static const std::vector<std::string> kNoMachines;
  for (size_t partition = 0; partition < replica_.leases.size(); ++partition) {
    const std::string& owner = replica_.leases[partition].owner;
    const bool is_self = owner == context_.settings.platform.label;
    if (is_self || peers_.is_reachable(owner) || !peers_.is_alive(owner)) continue;
    const auto record = replica_.liveness_records.find(owner);
    const std::vector<std::string>& unreachable = record == replica_.liveness_records.end()
                                                      ? kNoMachines
                                                      : record->second.unreachable_machines;
    for (const store::MachinePage& page : replica_.directory().pages()[partition])
      for (const auto& [name, entry] : page.machines)
        if (owns_machine(owner, name)) derive_status(owner, unreachable, entry);
  }
}

void MachineStatusTable::derive_status(const std::string& owner,
                                       const std::vector<std::string>& unreachable,
                                       const model::Machine& machine) {
  const std::string& name = machine.name;
  const auto type = replica_.types.find(machine.type);
  if (type == replica_.types.end()) return;
  const model::Resources& capacity = type->second.capacity;
  const store::MachineLoad& load = replica_.load(name);
  const model::Resources free = capacity - load.used;
  const double machine_age = context_.now.wall - machine.rented_at;

  wire::PublishedStatus& status = statuses_[name];
  status.publisher = owner;
  status.name = name;
  status.is_up = status.is_up || !load.tasks.empty() || machine_age > 2 * type->second.boot_s;
  // The unreachable owner cannot be asked to drain the machine and could not report it as empty.
  status.is_draining = false;
  status.is_unreachable =
      std::find(unreachable.begin(), unreachable.end(), name) != unreachable.end();
  status.cpus_free = status.is_up && !status.is_unreachable ? free.cpus : 0;
  status.gpus_free = free.gpus;
  status.memory_free_gb = free.memory_gb;
  status.task_count = static_cast<uint32_t>(load.tasks.size());
  status.utilization =
      std::max(capacity.cpus > 0 ? load.used.cpus / capacity.cpus : 0,
               capacity.memory_gb > 0 ? load.used.memory_gb / capacity.memory_gb : 0);
}

}  // namespace rooksill::leader
