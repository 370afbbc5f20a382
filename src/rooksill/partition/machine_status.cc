#include "rooksill/partition/machine_status.h"

#include <fmt/format.h>

#include <algorithm>

namespace rooksill::partition {

namespace {

// Returns the larger of the CPU and memory utilization (0 to 1); 0 if the machine's type is
// unknown.
double utilization(const placement::MachineCapacity& capacity) {
  if (capacity.type == nullptr || capacity.type->capacity.cpus <= 0) return 0;
  const model::Resources& total = capacity.type->capacity;
  const model::Resources& free = capacity.free;
  return std::max(1 - free.cpus / total.cpus,
                  total.memory_gb > 0 ? 1 - free.memory_gb / total.memory_gb : 0);
}

}  // namespace

wire::MachineStatus machine_status(const agent::Worker& worker,
                                   const placement::MachineCapacity& capacity,
                                   const MachineAvailability& availability,
                                   const store::Replica& replica) {
  wire::MachineStatus status;
  status.name = worker.name;
  status.is_up = worker.has_reported;
  status.is_draining = availability.is_draining;
  status.is_unreachable = worker.is_unreachable;
  status.is_faulty = worker.failures.is_faulty;
  status.has_termination_notice = worker.terminates_at.has_value();
  if (availability.is_schedulable) {
    status.cpus_free = capacity.free.cpus;
    std::copy(capacity.cpus_by_priority.begin(), capacity.cpus_by_priority.end(),
              status.cpus_by_priority.begin());
  }
  status.gpus_free = capacity.free.gpus;
  status.memory_free_gb = capacity.free.memory_gb;
  status.task_count = capacity.tasks;
  status.utilization = utilization(capacity);
  for (const auto& entry : worker.images.entries())
    status.images.push_back(replica.image_name(entry.image));
  return status;
}

void MachineSummary::add(const agent::Worker& worker, const placement::MachineCapacity& capacity,
                         bool is_schedulable, size_t placed_tasks) {
  ++total_machines_;
  reporting_machines_ += worker.has_reported ? 1 : 0;
  commands_in_flight_ += worker.tokens.has_command_in_flight() ? 1 : 0;
  placed_tasks_ += placed_tasks;
  for (const auto& task : worker.tasks) ++tasks_by_phase_[static_cast<size_t>(task.phase)];
  if (!is_schedulable) return;
  ++schedulable_;
  cpus_ += capacity.type->capacity.cpus;
  free_cpus_ += capacity.free.cpus;
}

std::string MachineSummary::to_string() const {
  return fmt::format(
      "machines: {}, {} reporting, {} schedulable with {:.0f} of {:.0f} CPUs free, {} with "
      "commands in flight; tasks: {} placed; reported: {} fetching, {} gathering, {} running, "
      "{} saving, {} exited",
      total_machines_, reporting_machines_, schedulable_, free_cpus_, cpus_, commands_in_flight_,
      placed_tasks_, tasks_by_phase_[0], tasks_by_phase_[1], tasks_by_phase_[2], tasks_by_phase_[3],
      tasks_by_phase_[4]);
}

}  // namespace rooksill::partition
