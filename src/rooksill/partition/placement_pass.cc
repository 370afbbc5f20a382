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
using placement::WaitingShard;
using placement::ZoneLimits;

namespace {

std::vector<const MachineCapacity*> capacities_of(const std::vector<agent::Worker*>& workers) {
  std::vector<const MachineCapacity*> capacities;
  capacities.reserve(workers.size());
  for (const agent::Worker* worker : workers) capacities.push_back(&worker->capacity);
  return capacities;
}

// Replicas that users wait for: where lower work makes room they start sooner than where their
// image has to be fetched.
bool prefers_preemption_to_fetching(const model::JobSpec& spec) {
  return spec.shape == model::Shape::kService && spec.priority == model::Priority::kProd;
}

bool depends_on_zones(const model::JobSpec& spec) { return spec.spread || spec.one_zone; }

}  // namespace

PlacementPass::PlacementPass(Environment environment, placement::EvictionBudget& budget,
                             std::vector<agent::Worker*> workers)
    : env_(std::move(environment)),
      workers_(std::move(workers)),
      machines_(capacities_of(workers_)),
      feasibility_(env_.context.settings.platform.objectives),
      cheapest_cpu_(placement::cheapest_cpu_price(env_.replica.types)),
      preemption_(machines_, feasibility_, budget,
                  [this](const MachineCapacity& machine, model::Priority below) {
                    return list_preemptible(machine, below);
                  }),
      set_aside_(workers_.size()) {}

void PlacementPass::place_shard(const WaitingShard& waiting) {
  const model::Job& job = *waiting.job;
  // Looked at before anything else: of a long queue nearly all shards end here.
  if (unmet_.covers(job.spec)) return;
  ShardTasks tasks{&job, waiting.shard, tasks_to_place(waiting)};
  if (tasks.indexes.empty()) return;
  std::optional<ZoneLimits> zones = zone_limits(job);
  if (!zones) return;
  std::vector<MachineOption> options = options_for(job, *zones);
  if (job.spec.one_zone && !zones->restricted()) {
    // All of the job's tasks must come to fit in one zone.
    zones->restrict_to(placement::roomiest_zone(options));
    std::erase_if(options, [&](const MachineOption& option) {
      return zones->left(option.capacity->zone) == 0;
    });
  }
  placement::sort_by_score(options);
  Demand demand{static_cast<uint32_t>(tasks.indexes.size()), *std::move(zones), {}};
  for (const MachineOption& option : options) {
    const int partition = option.capacity->partition;
    if (demand.quota_tasks.count(partition) == 0)
      demand.quota_tasks[partition] = env_.quota_usage.tasks_left(job.spec, partition);
  }

  auto rest = options.end();
  if (prefers_preemption_to_fetching(job.spec))
    rest = std::find_if(options.begin(), options.end(), [&](const MachineOption& option) {
      return !option.capacity->has_image(job.image);
    });
  assign({options.begin(), rest}, demand, tasks);
  if (demand.tasks > 0 && rest != options.end()) {
    demand.tasks -= preempt(job, demand.tasks, demand.zones, true);
    assign({rest, options.end()}, demand, tasks);
  }
  if (demand.tasks > 0 && job.spec.priority > model::Priority::kIdle && !preemption_.exhausted())
    demand.tasks -= preempt(job, demand.tasks, demand.zones, false);
  if (demand.tasks > 0) unmet_.add(job.spec);
}

// Tasks of one shard are alike: all of them look for places at once.
std::vector<uint32_t> PlacementPass::tasks_to_place(const WaitingShard& waiting) const {
  const model::TaskShard& shard = waiting.job->shards[waiting.shard];
  const changes::ShardChanges* pending =
      env_.changes.find_shard({waiting.job->spec.id, waiting.shard});
  std::vector<uint32_t> indexes;
  for (uint32_t i = 0; i < shard.tasks.size(); ++i) {
    const model::TaskState& task = shard.tasks[i];
    const TaskChange* change = pending == nullptr ? nullptr : pending->find(i);
    if (change != nullptr) {
      // Ended elsewhere, and not written yet: it may get its next place with the same change.
      if (change->kind == TaskChange::Kind::kLost && !pending->in_flight()) indexes.push_back(i);
    } else if (env_.replica.is_task_pending(task) &&
               (task.machine.empty() || env_.replica.has_current_lists_for(shard))) {
      indexes.push_back(i);
    }
  }
  return indexes;
}

// How many more of the job's tasks each zone may have; nothing if the zone of one of them is not
// known.
std::optional<ZoneLimits> PlacementPass::zone_limits(const model::Job& job) const {
  ZoneLimits zones(job.spec);
  if (!depends_on_zones(job.spec)) return zones;
  for (uint32_t shard = 0; shard < job.shards.size(); ++shard)
    if (!count_by_zone(job, shard, zones)) return std::nullopt;
  return zones;
}

// Counts the shard's tasks where they are and where they were decided to go. False if the zone of
// one is not known.
bool PlacementPass::count_by_zone(const model::Job& job, uint32_t shard, ZoneLimits& zones) const {
  const changes::ShardChanges* pending = env_.changes.find_shard({job.spec.id, shard});
  // What has ended on a machine is there no more, though that is not written yet.
  auto ended = [&](uint32_t index) {
    if (pending == nullptr) return false;
    auto change = pending->waiting().find(index);
    return change != pending->waiting().end() && change->second.kind == TaskChange::Kind::kLost;
  };
  const auto& tasks = job.shards[shard].tasks;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].machine.empty() || ended(i)) continue;
    // A machine that is in no list here may have been added since the lists were read: other
    // controllers' updates of shards come faster than the watch.
    if (env_.replica.is_machine_unlisted(tasks[i].machine) && !env_.replica.has_current_lists_for(job.shards[shard]))
      return false;
    count_on(tasks[i].machine, job.spec, zones);
  }
  if (pending == nullptr) return true;
  for (const auto* changes : {&pending->waiting(), &pending->sent()})
    for (const auto& [i, change] : *changes)
      if (change.kind == TaskChange::Kind::kPlaced) count_on(change.machine.name, job.spec, zones);
  return true;
}

void PlacementPass::count_on(const std::string& machine, const model::JobSpec& spec,
                             ZoneLimits& zones) const {
  const model::Machine* known = env_.replica.machine(machine);
  if (known == nullptr) return;
  zones.add(known->zone);
  if (spec.one_zone) zones.restrict_to(known->zone);
}

// How many more of the job's tasks the machine takes, also by the team's quota.
uint32_t PlacementPass::slots(const model::JobSpec& spec, size_t machine) {
  const MachineCapacity& capacity = *machines_[machine];
  double count = feasibility_.free_slots(spec, capacity, set_aside_[machine]);
  if (count < 1) return 0;
  count = std::min(count, env_.quota_usage.tasks_left(spec, capacity.partition));
  return count < 1 ? 0 : static_cast<uint32_t>(count);
}

std::vector<MachineOption> PlacementPass::options_for(const model::Job& job,
                                                      const ZoneLimits& zones) {
  std::vector<MachineOption> options;
  for (size_t i = 0; i < machines_.size(); ++i) {
    const MachineCapacity& capacity = *machines_[i];
    if (!placement::Feasibility::allows(job.spec, capacity)) continue;
    if (zones.left(capacity.zone) == 0) continue;
    const uint32_t count = slots(job.spec, i);
    if (count == 0) continue;
    const double score = placement::score(job, capacity, cheapest_cpu_,
                                          env_.failed_there(job.spec.id, capacity.machine));
    options.push_back({i, &capacity, count, placement::image_wait_s(job, capacity), score});
  }
  return options;
}

// Plans places on the machines, in their order, and decides them.
void PlacementPass::assign(std::span<const MachineOption> options, Demand& demand,
                           ShardTasks& tasks) {
  const model::Job& job = *tasks.job;
  const model::TaskShard& shard = job.shards[tasks.shard];
  for (const auto& assignment : placement::assign_in_order(options, demand)) {
    agent::Worker& worker = *workers_[assignment.machine];
    for (uint32_t k = 0; k < assignment.tasks; ++k) {
      const uint32_t index = tasks.indexes[tasks.placed++];
      const uint64_t attempt = shard.tasks[index].attempt + 1;
      const model::TaskRef ref{job.spec.id, tasks.shard * job.tasks_per_shard + index};
      env_.changes.add(ref, TaskChange::placed(worker.name, worker.capacity.partition, attempt));
      env_.context.debug("placement", "task {} attempt {} goes to {} after {:.2f} s{}",
                         wire::task_name(ref), attempt, worker.name,
                         env_.context.now.wall - job.submitted_at,
                         worker.capacity.has_image(job.image) ? "" : ", image not there");
    }
    env_.capacities.recompute(worker);
  }
}

// Evicts work of lower priority to make room for so many tasks. Returns for how many of them room
// is on its way.
uint32_t PlacementPass::preempt(const model::Job& job, uint32_t tasks, const ZoneLimits& zones,
                                bool only_with_image) {
  const auto within_quota = [&](int partition) {
    return env_.quota_usage.allows_task(job.spec, partition);
  };
  const placement::PreemptionPlan plan =
      preemption_.plan({&job, tasks, zones, only_with_image, within_quota});
  for (const placement::Eviction& eviction : plan.evictions) {
    agent::Worker& worker = *workers_[eviction.machine];
    for (const model::TaskRef& ref : eviction.tasks) {
      env_.context.debug("placement", "task {} on {} is evicted to make room for {}",
                         wire::task_name(ref), worker.name, job.spec.id);
      env_.context.count("tasks_stopped");
      env_.evicted.evict(ref, env_.replica.task(ref)->attempt);
    }
    env_.workers.mark_changed(worker);
    env_.capacities.recompute(worker);
  }
  return plan.tasks;
}

std::vector<placement::PreemptibleTask> PlacementPass::list_preemptible(
    const MachineCapacity& machine, model::Priority below) const {
  std::vector<placement::PreemptibleTask> tasks;
  for (const auto& ref : env_.replica.placed_on(machine.machine)) {
    const model::JobSpec& spec = env_.replica.job(ref.job)->spec;
    if (spec.priority >= below || spec.shape == model::Shape::kGang) continue;
    if (env_.evicted.contains(ref)) continue;
    tasks.push_back({spec.priority, ref, spec.request});
  }
  return tasks;
}

}  // namespace rooksill::partition
