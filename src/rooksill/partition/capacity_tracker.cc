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

void CapacityTracker::forget(agent::Worker& worker) {
  quota_usage_.subtract(worker.capacity);
  worker.capacity.use_by_team.clear();
}

void CapacityTracker::recompute(agent::Worker& worker) {
  worker.is_capacity_stale = false;
  forget(worker);
  worker.capacity = empty_machine(worker);
  if (replica_.machine(worker.name) == nullptr) return;
  add_placed_tasks(worker, worker.capacity);
  add_unwritten_changes(worker, worker.capacity);
  quota_usage_.add(worker.capacity);
}

placement::MachineCapacity CapacityTracker::empty_machine(const agent::Worker& worker) const {
  placement::MachineCapacity capacity;
  capacity.machine = worker.name;
  for (const auto& entry : worker.images.entries()) capacity.cached_images.push_back(entry.image);
  const model::Machine* machine = replica_.machine(worker.name);
  if (machine == nullptr) return capacity;
  capacity.partition = machine->partition;
  capacity.spot = machine->spot;
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
    const model::Job& job = *replica_.job(ref.job);
    capacity.add_task(job);
    const model::TaskState* task = replica_.task(ref);
    if (task != nullptr && evicted_.contains(ref, task->attempt)) {
      capacity.vacating += job.spec.request;
    } else if (job.spec.shape != model::Shape::kGang) {
      // A gang is not preempted: it would have to go whole.
      capacity.cpus_by_priority[static_cast<size_t>(job.spec.priority)] += job.spec.request.cpus;
    }
  }
}

void CapacityTracker::add_unwritten_changes(const agent::Worker& worker,
                                            placement::MachineCapacity& capacity) const {
  const auto& placed = replica_.placed_on(worker.name);
  std::set<model::TaskRef> ended;
  for (const auto& reported : worker.tasks) {
    const model::Job* job = replica_.job(reported.task.job);
    const model::TaskState* task = replica_.task(reported.task);
    if (job == nullptr || task == nullptr) continue;
    const bool here = task->machine == worker.name && task->attempt == reported.attempt;
    const bool exited = reported.phase == wire::TaskPhase::kExited;
    // What has ended uses nothing any more, though its result is not written yet. What should not
    // be there uses its resources until it is gone.
    if (exited && here && placed.count(reported.task) != 0) {
      capacity.remove_task(job->spec);
      ended.insert(reported.task);
    } else if (!exited && !here) {
      capacity.add_task(*job);
    }
  }
  // A task that ended here and is to start here again is among the placed ones, and counts anew.
  for (const auto& ref : worker.pending_placements) {
    const model::Job* job = replica_.job(ref.job);
    if (job != nullptr && (placed.count(ref) == 0 || ended.count(ref) != 0))
      capacity.add_task(*job);
  }
}

}  // namespace rooksill::partition
