#include "rooksill/partition/capacity_tracker.h"

#include <cstddef>
#include <set>

#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::partition {

const placement::MachineCapacity& CapacityTracker::capacity(agent::Worker& worker) {
  if (worker.is_capacity_stale) recompute(worker);
  return worker.capacity;
}

void CapacityTracker::remove_usage(agent::Worker& worker) {
  quota_usage_.subtract(worker.capacity);
  worker.capacity.usage_by_team.clear();
}

void CapacityTracker::recompute(agent::Worker& worker) {
  worker.is_capacity_stale = false;
  remove_usage(worker);
  const double start_delay_s = worker.capacity.start_delay_s;
  worker.capacity = capacity_without_tasks(worker);
  worker.capacity.start_delay_s = start_delay_s;
  if (replica_.machine(worker.name) == nullptr) return;
  add_placed_tasks(worker, worker.capacity);
  add_pending_changes(worker, worker.capacity);
  quota_usage_.add(worker.capacity);
}

placement::MachineCapacity CapacityTracker::capacity_without_tasks(
    const agent::Worker& worker) const {
  placement::MachineCapacity capacity;
  capacity.machine = worker.name;
  for (const auto& entry : worker.images.entries()) capacity.cached_images.push_back(entry.image);
  const model::Machine* machine = replica_.machine(worker.name);
  if (machine == nullptr) return capacity;
  capacity.partition = machine->partition;
  capacity.is_spot = machine->spot;
  capacity.zone = machine->zone;
  auto type = replica_.types.find(machine->type);
  if (type == replica_.types.end()) return capacity;
  capacity.type = &type->second;
  capacity.free = type->second.capacity;
  return capacity;
}

void CapacityTracker::add_placed_tasks(const agent::Worker& worker,
                                       placement::MachineCapacity& capacity) const {
  for (const auto& ref : replica_.placed_on(worker.name)) {
    const model::Job* job = replica_.job(ref.job);
    if (job == nullptr) continue;
    capacity.add_task(*job);
    const model::TaskState* task = replica_.task(ref);
    if (task != nullptr && evicted_tasks_.contains(ref, task->attempt)) {
      capacity.evicting += job->spec.request;
    } else if (job->spec.shape != model::Shape::kGang) {
      // Gang tasks are not preemptible: the whole gang would have to be evicted.
      capacity.cpus_by_priority[static_cast<size_t>(job->spec.priority)] += job->spec.request.cpus;
    }
  }
}

void CapacityTracker::add_pending_changes(const agent::Worker& worker,
                                          placement::MachineCapacity& capacity) const {
  const auto& placed = replica_.placed_on(worker.name);
  std::set<model::TaskRef> ended;
  for (const auto& reported : worker.tasks) {
    const model::Job* job = replica_.job(reported.task.job);
    const model::TaskState* task = replica_.task(reported.task);
    if (job == nullptr || task == nullptr) continue;
    const bool is_placed_here = task->machine == worker.name && task->attempt == reported.attempt;
    const bool has_exited = reported.phase == wire::TaskPhase::kExited;
    // An exited task uses no resources, even while its result is not yet written. A task that
    // should not be on this machine uses its resources until it has exited.
    if (has_exited && is_placed_here && placed.count(reported.task) != 0) {
      capacity.remove_task(job->spec);
      ended.insert(reported.task);
    } else if (!has_exited && !is_placed_here) {
      capacity.add_task(*job);
    }
  }
  // A task that exited here and is to restart on the same machine is still among the placed tasks;
  // its new attempt is added again.
  for (const auto& ref : worker.pending_placements) {
    const model::Job* job = replica_.job(ref.job);
    if (job != nullptr && (placed.count(ref) == 0 || ended.count(ref) != 0))
      capacity.add_task(*job);
  }
}

}  // namespace rooksill::partition
