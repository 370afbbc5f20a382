#include "rooksill/partition/placement_pass.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "rooksill/changes/shard_changes.h"
#include "rooksill/changes/task_change.h"
#include "rooksill/model/machine.h"
#include "rooksill/placement/ranking.h"
#include "rooksill/wire/names.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::partition {

using changes::TaskChange;
using placement::Demand;
using placement::MachineCapacity;
using placement::MachineOption;
using placement::PendingShard;
using placement::ZoneLimits;

namespace {

std::vector<const MachineCapacity*> capacities_of(const std::vector<agent::Worker*>& workers) {
  std::vector<const MachineCapacity*> capacities;
  capacities.reserve(workers.size());
  for (const agent::Worker* worker : workers) capacities.push_back(&worker->capacity);
  return capacities;
}

// Production service replicas are needed by users immediately: they start sooner on a machine that
// has their image, after preempting lower-priority work, than where the image must be fetched
// first.
bool prefers_preemption_to_image_fetch(const model::JobSpec& spec) {
  return spec.shape == model::Shape::kService && spec.priority == model::Priority::kProd;
}

bool has_zone_constraint(const model::JobSpec& spec) { return spec.spread || spec.one_zone; }

}  // namespace

PlacementPass::PlacementPass(Environment environment, placement::EvictionBudget& budget,
                             std::vector<agent::Worker*> workers)
    : environment_(std::move(environment)),
      workers_(std::move(workers)),
      machines_(capacities_of(workers_)),
      feasibility_(environment_.context.settings.platform.objectives),
      cheapest_cpu_(placement::cheapest_cpu_price(environment_.replica.types)),
      preemption_(machines_, feasibility_, budget,
                  [this](const MachineCapacity& machine, model::Priority below) {
                    return preemptible_tasks(machine, below);
                  }),
      reserved_(workers_.size()) {}

void PlacementPass::place_shard(const PendingShard& pending) {
  const model::Job& job = *pending.job;
  // Checked first because most shards of a long queue are rejected here.
  if (unmet_requests_.covers(job.spec)) return;
  ShardTasks tasks{&job, pending.shard, tasks_to_place(pending)};
  if (tasks.indexes.empty()) return;
  std::optional<ZoneLimits> zones = zone_limits(job);
  if (!zones) return;
  std::vector<MachineOption> options = machine_options(job, *zones);
  if (job.spec.one_zone && !zones->is_restricted()) {
    // All tasks of the job must eventually fit in the chosen zone.
    zones->restrict_to(placement::zone_with_most_slots(options));
    std::erase_if(options, [&](const MachineOption& option) {
      return zones->remaining(option.capacity->zone) == 0;
    });
  }
  placement::sort_by_score(options);
  Demand demand{static_cast<uint32_t>(tasks.indexes.size()), *std::move(zones), {}};
  for (const MachineOption& option : options) {
    const int partition = option.capacity->partition;
    if (demand.quota_tasks.count(partition) == 0)
      demand.quota_tasks[partition] = environment_.quota_usage.remaining_tasks(job.spec, partition);
  }

  auto first_without_image = options.end();
  if (prefers_preemption_to_image_fetch(job.spec))
    first_without_image = std::find_if(
        options.begin(), options.end(),
        [&](const MachineOption& option) { return !option.capacity->has_image(job.image); });
  assign_tasks({options.begin(), first_without_image}, demand, tasks);
  if (demand.tasks > 0 && first_without_image != options.end()) {
    demand.tasks -= preempt(job, demand.tasks, demand.zones, true);
    assign_tasks({first_without_image, options.end()}, demand, tasks);
  }
  if (demand.tasks > 0 && job.spec.priority > model::Priority::kIdle && !preemption_.is_exhausted())
    demand.tasks -= preempt(job, demand.tasks, demand.zones, false);
  if (demand.tasks > 0) unmet_requests_.add(job.spec);
}

// Returns the indexes of the shard's unplaced tasks. Tasks of one shard have identical requests, so
// all of them are placed together.
std::vector<uint32_t> PlacementPass::tasks_to_place(const PendingShard& pending) const {
  const model::TaskShard& shard = pending.job->shards[pending.shard];
  const changes::ShardChanges* shard_changes =
      environment_.changes.find_shard({pending.job->spec.id, pending.shard});
  std::vector<uint32_t> indexes;
  for (uint32_t i = 0; i < shard.tasks.size(); ++i) {
    const model::TaskState& task = shard.tasks[i];
    const TaskChange* change = shard_changes == nullptr ? nullptr : shard_changes->find(i);
    if (change != nullptr) {
      // The task's attempt has ended but that is not yet written: the next placement can go into
      // the same write.
      if (change->kind == TaskChange::Kind::kLost && !shard_changes->is_in_flight())
        indexes.push_back(i);
    } else if (environment_.replica.is_task_pending(task) &&
               (task.machine.empty() || environment_.replica.has_current_lists_for(shard))) {
      indexes.push_back(i);
    }
  }
  return indexes;
}

// Returns how many more of the job's tasks each zone may have; nullopt if the zone of a placed task
// is unknown. The tasks in the store come first, because they determine the zone of a one-zone job:
// unwritten placements in another zone were decided before another owner's, and cannot be applied
// any more.
std::optional<ZoneLimits> PlacementPass::zone_limits(const model::Job& job) const {
  ZoneLimits zones(job.spec);
  if (!has_zone_constraint(job.spec)) return zones;
  for (uint32_t shard = 0; shard < job.shards.size(); ++shard)
    if (!count_placed_tasks(job, shard, zones)) return std::nullopt;
  for (uint32_t shard = 0; shard < job.shards.size(); ++shard)
    count_unwritten_placements(job, shard, zones);
  return zones;
}

// Counts the shard's tasks in the zones of the machines that the store places them on. Returns
// false if the zone of one of them is unknown.
bool PlacementPass::count_placed_tasks(const model::Job& job, uint32_t shard,
                                       ZoneLimits& zones) const {
  const changes::ShardChanges* shard_changes =
      environment_.changes.find_shard({job.spec.id, shard});
  // A task that has exited is no longer on its machine, even if that is not yet written.
  auto has_ended = [&](uint32_t index) {
    if (shard_changes == nullptr) return false;
    auto change = shard_changes->pending().find(index);
    return change != shard_changes->pending().end() &&
           change->second.kind == TaskChange::Kind::kLost;
  };
  const auto& tasks = job.shards[shard].tasks;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].machine.empty() || has_ended(i)) continue;
    // A machine missing from the machine lists may have been added after the lists were read: other
    // controllers' shard updates can arrive before the store's watch events.
    if (environment_.replica.is_machine_unlisted(tasks[i].machine) &&
        !environment_.replica.has_current_lists_for(job.shards[shard]))
      return false;
    count_task_on(tasks[i].machine, job.spec, zones);
  }
  return true;
}

void PlacementPass::count_unwritten_placements(const model::Job& job, uint32_t shard,
                                               ZoneLimits& zones) const {
  const changes::ShardChanges* shard_changes =
      environment_.changes.find_shard({job.spec.id, shard});
  if (shard_changes == nullptr) return;
  for (const auto* changes : {&shard_changes->pending(), &shard_changes->sent()})
    for (const auto& [i, change] : *changes)
      if (change.kind == TaskChange::Kind::kPlaced)
        count_task_on(change.machine.name, job.spec, zones);
}

void PlacementPass::count_task_on(const std::string& machine, const model::JobSpec& spec,
                                  ZoneLimits& zones) const {
  const model::Machine* record = environment_.replica.machine(machine);
  if (record == nullptr) return;
  zones.add(record->zone);
  if (spec.one_zone && !zones.is_restricted()) zones.restrict_to(record->zone);
}

// Returns how many more of the job's tasks fit on the machine and in the team's quota share.
uint32_t PlacementPass::free_slots(const model::JobSpec& spec, size_t machine) {
  const MachineCapacity& capacity = *machines_[machine];
  double count = feasibility_.free_slots(spec, capacity, reserved_[machine]);
  if (count < 1) return 0;
  count = std::min(count, environment_.quota_usage.remaining_tasks(spec, capacity.partition));
  return count < 1 ? 0 : static_cast<uint32_t>(count);
}

std::vector<MachineOption> PlacementPass::machine_options(const model::Job& job,
                                                          const ZoneLimits& zones) {
  std::vector<MachineOption> options;
  for (size_t i = 0; i < machines_.size(); ++i) {
    const MachineCapacity& capacity = *machines_[i];
    if (!placement::Feasibility::allows(job.spec, capacity)) continue;
    if (zones.remaining(capacity.zone) == 0) continue;
    const uint32_t count = free_slots(job.spec, i);
    if (count == 0) continue;
    const double score = placement::score(
        job, capacity, cheapest_cpu_, environment_.has_failed_on(job.spec.id, capacity.machine));
    options.push_back({i, &capacity, count, placement::start_wait_s(job, capacity), score});
  }
  return options;
}

// Assigns tasks to the machines in the order given and queues the placements as task changes.
void PlacementPass::assign_tasks(std::span<const MachineOption> options, Demand& demand,
                                 ShardTasks& tasks) {
  const model::Job& job = *tasks.job;
  const model::TaskShard& shard = job.shards[tasks.shard];
  for (const auto& assignment : placement::assign_in_order(options, demand)) {
    agent::Worker& worker = *workers_[assignment.machine_index];
    for (uint32_t k = 0; k < assignment.tasks; ++k) {
      const uint32_t index = tasks.indexes[tasks.placed++];
      const uint64_t attempt = shard.tasks[index].attempt + 1;
      const model::TaskRef ref{job.spec.id, tasks.shard * job.tasks_per_shard + index};
      environment_.changes.add(ref,
                               TaskChange::placed(worker.name, worker.capacity.partition, attempt));
      environment_.context.debug("placement",
                                 "task {} attempt {} assigned to {} {:.2f} s after submission{}",
                                 wire::task_name(ref), attempt, worker.name,
                                 environment_.context.now.wall - job.submitted_at,
                                 worker.capacity.has_image(job.image) ? "" : ", image not cached");
    }
    environment_.capacities.recompute(worker);
  }
}

// Evicts lower-priority tasks to free capacity for `tasks` tasks of the job. Returns for how many
// of them capacity is being freed.
uint32_t PlacementPass::preempt(const model::Job& job, uint32_t tasks, const ZoneLimits& zones,
                                bool only_with_image) {
  const auto within_quota = [&](int partition) {
    return environment_.quota_usage.allows_task(job.spec, partition);
  };
  const placement::PreemptionPlan plan =
      preemption_.plan({&job, tasks, zones, only_with_image, within_quota});
  for (const placement::Eviction& eviction : plan.evictions) {
    agent::Worker& worker = *workers_[eviction.machine_index];
    for (const model::TaskRef& ref : eviction.tasks) {
      environment_.context.debug("placement", "task {} on {} evicted to free capacity for job {}",
                                 wire::task_name(ref), worker.name, job.spec.id);
      environment_.context.count("tasks_stopped");
      if (const model::TaskState* task = environment_.replica.task(ref))
        environment_.evicted_tasks.mark_evicted(ref, task->attempt);
    }
    environment_.workers.mark_changed(worker);
    environment_.capacities.recompute(worker);
  }
  return plan.tasks;
}

std::vector<placement::PreemptibleTask> PlacementPass::preemptible_tasks(
    const MachineCapacity& machine, model::Priority below) const {
  std::vector<placement::PreemptibleTask> tasks;
  for (const auto& ref : environment_.replica.placed_on(machine.machine)) {
    const model::Job* job = environment_.replica.job(ref.job);
    if (job == nullptr) continue;
    const model::JobSpec& spec = job->spec;
    if (spec.priority >= below || spec.shape == model::Shape::kGang) continue;
    if (environment_.evicted_tasks.contains(ref)) continue;
    tasks.push_back({spec.priority, ref, spec.request});
  }
  return tasks;
}

}  // namespace rooksill::partition
