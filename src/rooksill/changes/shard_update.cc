#include "rooksill/changes/shard_update.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "rooksill/model/coordination.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::changes {

namespace {

bool is_placement(const TaskChange& change) { return change.kind == TaskChange::Kind::kPlaced; }

bool is_gang(const model::Job& job) { return job.spec.shape == model::Shape::kGang; }

// Whether where a task may be placed depends on where the job's others are, in whatever shard.
bool places_depend(const model::Job& job) { return job.spec.spread || job.spec.one_zone; }

}  // namespace

model::Revision placement_basis(const store::Replica& replica, const model::Job& job,
                                int partition) {
  model::Revision newest = replica.leases[static_cast<size_t>(partition)].revision;
  if (places_depend(job))
    for (const model::TaskShard& shard : job.shards) newest = std::max(newest, shard.revision);
  return newest;
}

ShardUpdate::ShardUpdate(const store::Replica& replica, const OwnedPartitions& owned,
                         const model::Job& job, uint32_t shard, ShardChanges& changes)
    : replica_(replica),
      owned_(owned),
      job_(job),
      shard_(job.shards[shard]),
      id_{job.spec.id, shard},
      changes_(changes),
      tasks_(shard_.tasks) {}

bool ShardUpdate::apply() {
  for (auto it = changes_.waiting().begin(); it != changes_.waiting().end();)
    it = apply_change(it->second, tasks_[it->first]) ? std::next(it) : remove(it);
  if (is_gang(job_)) keep_gang_whole();
  judge_ends();
  return !changes_.waiting().empty();
}

void ShardUpdate::judge_ends() {
  uint32_t done = job_.done - shard_.done;
  bool on_machines = false;
  for (const model::TaskState& task : tasks_) {
    done += task.done ? 1 : 0;
    on_machines = on_machines || !task.machine.empty();
  }
  finishes_job_ = done == job_.spec.tasks && !job_.over();
  deletes_shard_ = finishes_job_ || (job_.over() && !on_machines);
}

// A change is worth what its owner knew. Once the partition was with another owner in between, that
// one may have started a lost task in place, which changes nothing in the store: so each lease that
// a change rests on has to be the one it was decided under, that of the machine left as well.
bool ShardUpdate::owned_throughout(const TaskChange& change) const {
  if (!owned_.owns_under(change.machine.partition, change.machine.lease)) return false;
  return !change.replaces || owned_.owns_under(change.replaces->partition, change.replaces->lease);
}

bool ShardUpdate::apply_change(const TaskChange& change, model::TaskState& state) const {
  if (!owned_throughout(change)) return false;
  return is_placement(change) ? apply_placement(change, state) : apply_end(change, state);
}

bool ShardUpdate::apply_placement(const TaskChange& change, model::TaskState& state) const {
  const bool reported_gone =
      change.replaces && !state.done && state.machine == change.replaces->name;
  // All tasks of a gang share their attempt's number.
  const bool next_attempt =
      is_gang(job_) ? change.attempt > state.attempt : change.attempt == state.attempt + 1;
  if (!next_attempt || job_.over()) return false;
  if (!reported_gone && !replica_.is_task_pending(state)) return false;
  if (replica_.is_machine_unlisted(change.machine.name)) return false;
  if (change.basis != placement_basis(replica_, job_, change.machine.partition)) return false;
  // Taken from a machine that is in no list: only if the lists are known as far as this shard. With
  // older lists, a machine that was just assigned would look gone.
  if (!state.machine.empty() && !reported_gone && !replica_.has_current_lists_for(shard_)) return false;
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

// All tasks of a gang's attempt are placed by one change, or none is; and all are done when one is.
void ShardUpdate::keep_gang_whole() {
  const auto is_done = [](const model::TaskState& task) { return task.done; };
  if (std::any_of(tasks_.begin(), tasks_.end(), is_done)) return complete_gang();
  if (gang_placed_whole()) return;
  for (auto it = changes_.waiting().begin(); it != changes_.waiting().end();)
    it = is_placement(it->second) ? remove(it) : std::next(it);
}

void ShardUpdate::complete_gang() {
  for (model::TaskState& task : tasks_) {
    task.machine.clear();
    task.done = true;
  }
}

bool ShardUpdate::gang_placed_whole() const {
  const auto& waiting = changes_.waiting();
  const auto placements = std::count_if(waiting.begin(), waiting.end(), [](const auto& change) {
    return is_placement(change.second);
  });
  return static_cast<size_t>(placements) == tasks_.size() &&
         std::all_of(tasks_.begin(), tasks_.end(), [&](const model::TaskState& task) {
           return task.attempt == tasks_.front().attempt;
         });
}

// Removes a change that waits, and takes its effect back.
ShardChanges::ByIndex::const_iterator ShardUpdate::remove(
    ShardChanges::ByIndex::const_iterator position) {
  const auto& [index, change] = *position;
  tasks_[index] = shard_.tasks[index];
  removed_.push_back({index, change});
  return changes_.remove_waiting(position);
}

// The value must be one that the store takes, also with the limits to come. With names of unusual
// length, placements are given up until it is; a gang's would have to go all at once. A value from
// before the limits were lowered may be too large without any: it waits until enough of its tasks
// have ended.
bool ShardUpdate::encode(size_t max_bytes) {
  if (deletes_shard_) return true;
  value_ = wire::encode_shard(tasks_);
  value_bytes_ = value_.dump().size();
  while (value_bytes_ > max_bytes) {
    if (is_gang(job_) || !remove_last_placement()) return false;
    value_ = wire::encode_shard(tasks_);
    value_bytes_ = value_.dump().size();
  }
  return !changes_.waiting().empty();
}

bool ShardUpdate::remove_last_placement() {
  const auto& waiting = changes_.waiting();
  const auto last = std::find_if(waiting.rbegin(), waiting.rend(),
                                 [](const auto& change) { return is_placement(change.second); });
  if (last == waiting.rend()) return false;
  remove(std::prev(last.base()));
  return true;
}

Preconditions ShardUpdate::preconditions() const {
  Preconditions out;
  bool places = false;
  for (const auto& [index, change] : changes_.waiting()) {
    places = places || is_placement(change);
    out[wire::lease_key(change.machine.partition)] = change.machine.lease;
    if (change.replaces) out[wire::lease_key(change.replaces->partition)] = change.replaces->lease;
  }
  out[wire::shard_key(id_.job, id_.index)] = shard_.revision;
  if (places || deletes_shard_) out[wire::job_key(id_.job)] = job_.revision;
  if (places && places_depend(job_))
    for (uint32_t i = 0; i < job_.shards.size(); ++i)
      out[wire::shard_key(id_.job, i)] = job_.shards[i].revision;
  return out;
}

}  // namespace rooksill::changes
