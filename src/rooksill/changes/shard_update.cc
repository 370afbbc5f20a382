#include "rooksill/changes/shard_update.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "rooksill/model/coordination.h"
#include "rooksill/model/machine.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::changes {

namespace {

bool is_placement(const TaskChange& change) { return change.kind == TaskChange::Kind::kPlaced; }

bool is_gang(const model::Job& job) { return job.spec.shape == model::Shape::kGang; }

// Returns whether the placement of a task depends on those of the job's other tasks, in any shard.
bool has_dependent_placements(const model::Job& job) {
  return job.spec.spread || job.spec.one_zone;
}

}  // namespace

model::Revision placement_basis_revision(const store::Replica& replica, const model::Job& job,
                                         int partition) {
  model::Revision newest = replica.leases[static_cast<size_t>(partition)].revision;
  if (has_dependent_placements(job))
    for (const model::TaskShard& shard : job.shards) newest = std::max(newest, shard.revision);
  return newest;
}

ShardUpdate::ShardUpdate(const store::Replica& replica, const OwnedPartitions& owned_partitions,
                         const model::Job& job, uint32_t shard, ShardChanges& changes)
    : replica_(replica),
      owned_partitions_(owned_partitions),
      job_(job),
      shard_(job.shards[shard]),
      id_{job.spec.id, shard},
      changes_(changes),
      tasks_(shard_.tasks) {}

bool ShardUpdate::apply() {
  for (auto it = changes_.pending().begin(); it != changes_.pending().end();)
    it = apply_change(it->second, tasks_[it->first]) ? std::next(it) : remove_change(it);
  if (is_gang(job_)) enforce_gang_atomicity();
  update_end_flags();
  return !changes_.pending().empty();
}

void ShardUpdate::update_end_flags() {
  uint32_t done = job_.done - shard_.done;
  bool has_placed_tasks = false;
  for (const model::TaskState& task : tasks_) {
    done += task.done ? 1 : 0;
    has_placed_tasks = has_placed_tasks || !task.machine.empty();
  }
  finishes_job_ = done == job_.spec.tasks && !job_.over();
  deletes_shard_ = finishes_job_ || (job_.over() && !has_placed_tasks);
}

// Returns whether all leases that the change depends on are those under which it was decided,
// including that of the previous machine. If a partition had another owner in between, that owner
// may have restarted a lost task on its machine, which changes nothing in the store.
bool ShardUpdate::has_current_leases(const TaskChange& change) const {
  return is_lease_current(change.machine) &&
         (!change.previous_machine || is_lease_current(*change.previous_machine));
}

// A machine that was in two lists may belong to another partition since the decision, and thus be
// under another lease.
bool ShardUpdate::is_lease_current(const LeasedMachine& machine) const {
  const model::Machine* listed = replica_.machine(machine.name);
  if (listed != nullptr && listed->partition != machine.partition) return false;
  return owned_partitions_.owns_under_lease(machine.partition, machine.lease_revision);
}

bool ShardUpdate::apply_change(const TaskChange& change, model::TaskState& state) const {
  if (!has_current_leases(change)) return false;
  return is_placement(change) ? apply_placement(change, state) : apply_end(change, state);
}

bool ShardUpdate::apply_placement(const TaskChange& change, model::TaskState& state) const {
  const bool is_previous_attempt_gone =
      change.previous_machine && !state.done && state.machine == change.previous_machine->name;
  // All tasks of a gang have the same attempt number.
  const bool is_next_attempt =
      is_gang(job_) ? change.attempt > state.attempt : change.attempt == state.attempt + 1;
  if (!is_next_attempt || job_.over()) return false;
  if (!is_previous_attempt_gone && !replica_.is_task_pending(state)) return false;
  if (replica_.is_machine_unlisted(change.machine.name)) return false;
  if (change.basis_revision != placement_basis_revision(replica_, job_, change.machine.partition))
    return false;
  // The task is taken off a machine that is in no list. This requires lists at least as new as the
  // shard: with older ones, a machine that was rented recently would be taken for a released one.
  if (!state.machine.empty() && !is_previous_attempt_gone &&
      !replica_.has_current_lists_for(shard_))
    return false;
  state.machine = change.machine.name;
  state.attempt = change.attempt;
  return true;
}

bool ShardUpdate::apply_end(const TaskChange& change, model::TaskState& state) {
  if (state.done || state.machine != change.machine.name || state.attempt != change.attempt)
    return false;
  state.machine.clear();
  state.done = change.kind == TaskChange::Kind::kDone;
  return true;
}

// Ensures that one update places all tasks of a gang or none: otherwise removes the placements.
// Once one task of a gang is done, all of them are.
void ShardUpdate::enforce_gang_atomicity() {
  const auto is_done = [](const model::TaskState& task) { return task.done; };
  if (std::any_of(tasks_.begin(), tasks_.end(), is_done)) return complete_gang();
  if (is_gang_fully_placed()) return;
  for (auto it = changes_.pending().begin(); it != changes_.pending().end();)
    it = is_placement(it->second) ? remove_change(it) : std::next(it);
}

void ShardUpdate::complete_gang() {
  for (model::TaskState& task : tasks_) {
    task.machine.clear();
    task.done = true;
  }
}

bool ShardUpdate::is_gang_fully_placed() const {
  const auto& pending = changes_.pending();
  const auto placements = std::count_if(pending.begin(), pending.end(), [](const auto& change) {
    return is_placement(change.second);
  });
  return static_cast<size_t>(placements) == tasks_.size() &&
         std::all_of(tasks_.begin(), tasks_.end(), [&](const model::TaskState& task) {
           return task.attempt == tasks_.front().attempt;
         });
}

// Removes a pending change and undoes its effect on the task.
ShardChanges::ChangesByIndex::const_iterator ShardUpdate::remove_change(
    ShardChanges::ChangesByIndex::const_iterator position) {
  const auto& [index, change] = *position;
  tasks_[index] = shard_.tasks[index];
  removed_.push_back({index, change});
  return changes_.remove_pending(position);
}

// The store must accept the value, also under limits that are lowered later. With unusually long
// names, placements are removed until the value fits; those of a gang could only be removed all at
// once, so they are kept. A value written before the limits were lowered may be too large without
// any placement: its changes stay pending until enough of its tasks have ended.
bool ShardUpdate::encode(size_t max_bytes) {
  if (deletes_shard_) return true;
  value_ = wire::encode_shard(tasks_);
  value_bytes_ = value_.dump().size();
  while (value_bytes_ > max_bytes) {
    if (is_gang(job_) || !remove_last_placement()) return false;
    value_ = wire::encode_shard(tasks_);
    value_bytes_ = value_.dump().size();
  }
  return !changes_.pending().empty();
}

bool ShardUpdate::remove_last_placement() {
  const auto& pending = changes_.pending();
  const auto last = std::find_if(pending.rbegin(), pending.rend(),
                                 [](const auto& change) { return is_placement(change.second); });
  if (last == pending.rend()) return false;
  remove_change(std::prev(last.base()));
  return true;
}

Preconditions ShardUpdate::preconditions() const {
  Preconditions result;
  bool has_placement = false;
  for (const auto& [index, change] : changes_.pending()) {
    has_placement = has_placement || is_placement(change);
    result[wire::lease_key(change.machine.partition)] = change.machine.lease_revision;
    if (change.previous_machine)
      result[wire::lease_key(change.previous_machine->partition)] =
          change.previous_machine->lease_revision;
  }
  result[wire::shard_key(id_.job, id_.index)] = shard_.revision;
  if (has_placement || deletes_shard_) result[wire::job_key(id_.job)] = job_.revision;
  if (has_placement && has_dependent_placements(job_))
    for (uint32_t i = 0; i < job_.shards.size(); ++i)
      result[wire::shard_key(id_.job, i)] = job_.shards[i].revision;
  return result;
}

}  // namespace rooksill::changes
