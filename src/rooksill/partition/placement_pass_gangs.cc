// Part of PlacementPass: gang jobs. Either all tasks of an attempt are placed, in a single change,
// or none is.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "rooksill/changes/shard_changes.h"
#include "rooksill/changes/task_change.h"
#include "rooksill/partition/placement_pass.h"
#include "rooksill/placement/gang_plan.h"

namespace rooksill::partition {

using changes::TaskChange;
using placement::Demand;
using placement::MachineCapacity;
using placement::PendingShard;
using placement::ZoneLimits;

namespace {
// Once a gang has been pending for so many heartbeat intervals, capacity that becomes free is
// reserved for it, ahead of less urgent work.
constexpr double kReserveAfterHeartbeats = 1;
}  // namespace

// Returns the number of the next attempt, or nullopt unless all tasks of the last one are certainly
// gone.
std::optional<uint64_t> PlacementPass::next_gang_attempt(const model::Job& job) const {
  const model::TaskShard& shard = job.shards.front();
  const changes::ShardChanges* shard_changes = environment_.changes.find_shard({job.spec.id, 0});
  uint64_t last_attempt = 0;
  for (uint32_t i = 0; i < shard.tasks.size(); ++i) {
    const model::TaskState& task = shard.tasks[i];
    last_attempt = std::max(last_attempt, task.attempt);
    const TaskChange* change = shard_changes == nullptr ? nullptr : shard_changes->find(i);
    if (change != nullptr) {
      // Reported as lost but not yet written: the next placement can go into the same write, unless
      // that is already in flight.
      if (change->kind != TaskChange::Kind::kLost || shard_changes->is_in_flight())
        return std::nullopt;
    } else if (!environment_.replica.is_task_pending(task) ||
               (!task.machine.empty() && !environment_.replica.has_current_lists_for(shard))) {
      return std::nullopt;
    }
  }
  return last_attempt + 1;
}

// Returns the demand of the whole gang, limited by the team's remaining quota in each partition.
Demand PlacementPass::gang_demand(const model::JobSpec& spec) {
  Demand demand{spec.tasks, ZoneLimits(spec), {}};
  for (const int partition : environment_.owned_partitions.acquired_partitions())
    demand.quota_tasks[partition] = std::clamp<double>(
        environment_.quota_usage.remaining_tasks(spec, partition), 0, spec.tasks);
  return demand;
}

void PlacementPass::place_gang(const PendingShard& pending) {
  const model::Job& job = *pending.job;
  if (job.shards.size() != 1) return;
  const auto attempt = next_gang_attempt(job);
  if (!attempt) return;
  auto options = machine_options(job, ZoneLimits(job.spec));
  const auto plan =
      placement::plan_gang(std::move(options), gang_demand(job.spec), job.spec.one_zone);
  if (plan.empty()) return reserve_capacity_for_gang(job);
  uint32_t next = 0;
  for (const auto& assignment : plan) {
    agent::Worker& worker = *workers_[assignment.machine_index];
    for (uint32_t k = 0; k < assignment.tasks; ++k)
      environment_.changes.add(
          {job.spec.id, next++},
          TaskChange::placed(worker.name, worker.capacity.partition, *attempt));
    environment_.context.debug(
        "placement", "{} tasks of gang {} attempt {} assigned to {} {:.2f} s after submission{}",
        assignment.tasks, job.spec.id, *attempt, worker.name,
        environment_.context.now.wall - job.submitted_at,
        worker.capacity.has_image(job.image) ? "" : ", image not cached");
    environment_.capacities.recompute(worker);
  }
}

// Evicts lower-priority tasks if that frees capacity for the whole gang, and reserves what is free
// for the rest of the pass: otherwise smaller jobs would use it each time and the gang would never
// start.
void PlacementPass::reserve_capacity_for_gang(const model::Job& job) {
  const auto best_zone = placement::max_gang_capacity(job.spec, machines_, feasibility_);
  if (!best_zone) return;
  const auto& context = environment_.context;
  const bool has_waited_long = context.now.wall - job.submitted_at >
                               kReserveAfterHeartbeats * context.settings.platform.report_s;
  const bool is_sufficient = best_zone->tasks >= job.spec.tasks;
  if (!is_sufficient && !has_waited_long) return;
  const uint32_t missing = job.spec.tasks - reserve_free_slots(job.spec, best_zone->zone);
  if (!is_sufficient || missing == 0 || job.spec.priority == model::Priority::kIdle) return;
  ZoneLimits zones(job.spec);
  zones.restrict_to(best_zone->zone);
  preempt(job, missing, zones, false);
}

// Reserves the free capacity for the gang's tasks for the rest of the pass. Returns the number of
// tasks that it suffices for. An empty `zone` means all zones.
uint32_t PlacementPass::reserve_free_slots(const model::JobSpec& spec, const std::string& zone) {
  uint32_t missing = spec.tasks;
  for (size_t i = 0; i < machines_.size() && missing > 0; ++i) {
    const MachineCapacity& capacity = *machines_[i];
    if (!placement::Feasibility::allows(spec, capacity)) continue;
    if (!zone.empty() && capacity.zone != zone) continue;
    const uint32_t count = std::min(missing, free_slots(spec, i));
    reserved_[i] += spec.request * count;
    missing -= count;
  }
  return spec.tasks - missing;
}

}  // namespace rooksill::partition
