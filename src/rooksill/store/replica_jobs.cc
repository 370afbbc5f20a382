// Replica: jobs and the states of their tasks.
#include <algorithm>
#include <utility>

#include "rooksill/store/replica.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::store {

using nlohmann::json;

size_t shard_count(const model::Job& job) {
  return (job.spec.tasks + job.tasks_per_shard - 1) / job.tasks_per_shard;
}

size_t shard_size(const model::Job& job, uint32_t shard) {
  return std::min<size_t>(job.tasks_per_shard, job.spec.tasks - shard * job.tasks_per_shard);
}

bool Replica::apply_job(const std::string& id, const json& value, model::Revision revision) {
  model::Job* known = job(id);
  if (known != nullptr && revision <= known->revision) return false;
  auto decoded = wire::decode_job(value);
  if (!decoded) return false;
  const model::JobEnd end = decoded->end;
  if (end != model::JobEnd::kDone && decoded->spec.id != id) return false;
  if (known == nullptr)
    known = &add_job(id, std::move(*decoded));
  else
    set_end(*known, end);  // the end is the only field that changes after creation
  known->revision = revision;
  if (known->end == model::JobEnd::kDone) mark_all_tasks_done(*known);
  mark_changed(*known);
  return true;
}

model::Job& Replica::add_job(const std::string& id, model::Job decoded) {
  model::JobEnd end = decoded.end;
  const bool cancelled = cancelled_before_record_.erase(id) != 0;
  if (cancelled && end == model::JobEnd::kOpen) end = model::JobEnd::kCancelled;
  decoded.end = model::JobEnd::kOpen;
  decoded.spec.id = id;
  decoded.image = image_number(decoded.spec.image);
  if (end != model::JobEnd::kDone) {
    decoded.shards.resize(shard_count(decoded));
    for (uint32_t shard = 0; shard < decoded.shards.size(); ++shard)
      decoded.shards[shard].tasks.resize(shard_size(decoded, shard));
  }
  model::Job& added = jobs.emplace(id, std::move(decoded)).first->second;
  set_end(added, end);
  return added;
}

// Once a job has ended, its end is final: a stale record that arrives late does not reopen it.
void Replica::set_end(model::Job& job, model::JobEnd end) {
  if (end == job.end || job.over()) return;
  job.end = end;
  if (end == model::JobEnd::kCancelled) changes.cancelled.push_back(job.spec.id);
}

void Replica::mark_cancelled(const std::string& id) {
  model::Job* known = job(id);
  if (known == nullptr) {
    cancelled_before_record_.insert(id);
    return;
  }
  if (known->over()) return;
  set_end(*known, model::JobEnd::kCancelled);
  mark_changed(*known);
}

// Called when the job is done. This implies that all its tasks are done, whatever their last known
// states, so the shards are no longer needed.
void Replica::mark_all_tasks_done(model::Job& job) {
  for (uint32_t shard = 0; shard < job.shards.size(); ++shard) {
    const std::vector<model::TaskState>& tasks = job.shards[shard].tasks;
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      const model::TaskState& task = tasks[i];
      if (task.done) continue;
      changes.events.push_back({TaskEvent::Kind::kDone, job.spec.id, task.machine});
      const model::TaskRef ref{job.spec.id, shard * job.tasks_per_shard + i};
      if (!task.machine.empty()) remove_load(job, ref, task.machine);
    }
  }
  job.shards.clear();
  job.shards.shrink_to_fit();
  job.done = job.spec.tasks;
  job.placed = 0;
}

void Replica::mark_changed(const model::Job& job) {
  update_job_sets(job);
  changes.changed_jobs.insert(job.spec.id);
  for (const auto& shard : job.shards)
    for (const auto& task : shard.tasks)
      if (!task.machine.empty()) changes.changed_machines.insert(task.machine);
}

Replica::ShardLocation Replica::find_shard(const wire::StoreKey& key) {
  model::Job* known = job(key.name);
  if (known == nullptr || key.shard >= known->shards.size()) return {};
  return {known, &known->shards[key.shard]};
}

bool Replica::apply_shard(const wire::StoreKey& key, const json& value, model::Revision revision) {
  const ShardLocation location = find_shard(key);
  if (location.shard == nullptr || revision <= location.shard->revision) return false;
  auto tasks = wire::decode_shard(value, shard_size(*location.job, key.shard));
  if (!tasks) return false;
  const uint32_t first_task = key.shard * location.job->tasks_per_shard;
  replace_tasks(*location.job, *location.shard, first_task, std::move(*tasks), revision);
  return true;
}

void Replica::replace_tasks(model::Job& job, model::TaskShard& shard, uint32_t first_task,
                            std::vector<model::TaskState> tasks, model::Revision revision) {
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const model::TaskRef ref{job.spec.id, first_task + i};
    if (shard.tasks[i] != tasks[i]) replace_task(job, ref, shard.tasks[i], tasks[i]);
  }
  shard.tasks = std::move(tasks);
  shard.revision = revision;
  recount(job, shard);
  changes.changed_jobs.insert(job.spec.id);
}

void Replica::replace_task(const model::Job& job, const model::TaskRef& ref,
                           const model::TaskState& before, const model::TaskState& after) {
  const bool moved = before.machine != after.machine;
  if (moved && !before.machine.empty()) {
    remove_load(job, ref, before.machine);
    if (!after.done && job.over())
      changes.events.push_back({TaskEvent::Kind::kLeft, ref.job, before.machine});
  }
  if (moved && !after.machine.empty()) {
    add_load(job, ref, after.machine);
    if (after.attempt == 1)
      changes.events.push_back({TaskEvent::Kind::kFirstPlaced, ref.job, after.machine});
  }
  if (after.done && !before.done)
    changes.events.push_back({TaskEvent::Kind::kDone, ref.job, before.machine});
}

void Replica::add_load(const model::Job& job, const model::TaskRef& ref,
                       const std::string& machine) {
  changes.changed_machines.insert(machine);
  loads_.add(job, ref, machine);
}

void Replica::remove_load(const model::Job& job, const model::TaskRef& ref,
                          const std::string& machine) {
  changes.changed_machines.insert(machine);
  loads_.remove(job, ref, machine);
}

void Replica::recount(model::Job& job, model::TaskShard& shard) {
  job.done -= shard.done;
  job.placed -= shard.placed;
  shard.done = shard.placed = 0;
  for (const auto& task : shard.tasks) {
    if (task.done)
      ++shard.done;
    else if (!is_task_pending(task))
      ++shard.placed;
  }
  job.done += shard.done;
  job.placed += shard.placed;
  update_job_sets(job);
}

void Replica::update_job_sets(const model::Job& job) {
  auto set_member = [&](std::set<std::string>& ids, bool member) {
    if (member)
      ids.insert(job.spec.id);
    else
      ids.erase(job.spec.id);
  };
  set_member(pending_jobs, !job.over() && unplaced(job) > 0);
  set_member(finished_jobs, !job.over() && job.has_all_tasks_done());
}

}  // namespace rooksill::store
