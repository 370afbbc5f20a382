#include "rooksill/partition/machine_status.h"

#include <fmt/format.h>

#include <algorithm>

namespace rooksill::partition {

namespace {

// The larger of the parts of its CPUs and its memory that are in use; 0 for an unknown type.
double load_of(const placement::MachineCapacity& capacity) {
  if (capacity.type == nullptr || capacity.type->capacity.cpus <= 0) return 0;
  const model::Resources& whole = capacity.type->capacity;
  const model::Resources& free = capacity.free;
  return std::max(1 - free.cpus / whole.cpus,
                  whole.memory_gb > 0 ? 1 - free.memory_gb / whole.memory_gb : 0);
}

}  // namespace

wire::MachineStatus machine_status(const agent::Worker& worker,
                                   const placement::MachineCapacity& capacity,
                                   const MachineAvailability& availability,
                                   const store::Replica& replica) {
  wire::MachineStatus status;
  status.name = worker.name;
  status.is_up = worker.reported;
  status.is_draining = availability.draining;
  status.is_unreachable = worker.silent;
  status.is_faulty = worker.failures.faulty;
  status.has_termination_notice = worker.terminates_at.has_value();
  if (availability.takes_tasks) {
    status.cpus_free = capacity.free.cpus;
    std::copy(capacity.cpus_by_priority.begin(), capacity.cpus_by_priority.end(),
              status.cpus_by_priority.begin());
  }
  status.gpus_free = capacity.free.gpus;
  status.memory_free_gb = capacity.free.memory_gb;
  status.task_count = capacity.tasks;
  status.utilization = load_of(capacity);
  for (const auto& entry : worker.images.entries())
    status.images.push_back(replica.image_name(entry.image));
  return status;
}

void MachineSummary::add(const agent::Worker& worker, const placement::MachineCapacity& capacity,
                         bool takes_tasks, size_t placed_tasks) {
  ++machines_;
  reported_ += worker.reported ? 1 : 0;
  commands_in_flight_ += worker.tokens.command_in_flight() ? 1 : 0;
  placed_tasks_ += placed_tasks;
  for (const auto& task : worker.tasks) ++tasks_by_phase_[static_cast<size_t>(task.phase)];
  if (!takes_tasks) return;
  ++taking_tasks_;
  cpus_ += capacity.type->capacity.cpus;
  free_cpus_ += capacity.free.cpus;
}

std::string MachineSummary::text() const {
  return fmt::format(
      "machines: {}, {} heard, {} taking tasks with {:.0f} of {:.0f} cores free, {} sent commands; "
      "tasks: {} placed, reported {} fetching, {} gathering, {} running, {} saving, {} ended",
      machines_, reported_, taking_tasks_, free_cpus_, cpus_, commands_in_flight_, placed_tasks_,
      tasks_by_phase_[0], tasks_by_phase_[1], tasks_by_phase_[2], tasks_by_phase_[3],
      tasks_by_phase_[4]);
}

}  // namespace rooksill::partition
