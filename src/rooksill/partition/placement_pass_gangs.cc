// Gang jobs in a pass of placement: all tasks of an attempt are placed by one change, or none is.
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
using placement::WaitingShard;
using placement::ZoneLimits;

namespace {
// A gang that waits longer than so many reports keeps what comes free from work of lower rank.
constexpr double kSetAsideReports = 1;
}  // namespace

// The number of the next attempt, if all tasks of the one before are gone for certain.
std::optional<uint64_t> PlacementPass::next_gang_attempt(const model::Job& job) const {
  const model::TaskShard& shard = job.shards.front();
  const changes::ShardChanges* pending = env_.changes.find_shard({job.spec.id, 0});
  uint64_t last = 0;
  for (uint32_t i = 0; i < shard.tasks.size(); ++i) {
    const model::TaskState& task = shard.tasks[i];
    last = std::max(last, task.attempt);
    const TaskChange* change = pending == nullptr ? nullptr : pending->find(i);
    if (change != nullptr) {
      // Reported gone, and not written yet: the next place may go with the same change.
      if (change->kind != TaskChange::Kind::kLost || pending->in_flight()) return std::nullopt;
    } else if (!env_.replica.is_task_pending(task) ||
               (!task.machine.empty() && !env_.replica.has_current_lists_for(shard))) {
      return std::nullopt;
    }
  }
  return last + 1;
}

// The whole gang, with what the team's quota still takes in each partition.
Demand PlacementPass::gang_demand(const model::JobSpec& spec) {
  Demand demand{spec.tasks, ZoneLimits(spec), {}};
  for (const int partition : env_.owned.list())
    demand.quota_tasks[partition] =
        std::clamp<double>(env_.quota_usage.tasks_left(spec, partition), 0, spec.tasks);
  return demand;
}

void PlacementPass::place_gang(const WaitingShard& waiting) {
  const model::Job& job = *waiting.job;
  if (job.shards.size() != 1) return;
  const auto attempt = next_gang_attempt(job);
  if (!attempt) return;
  auto options = options_for(job, ZoneLimits(job.spec));
  const auto plan =
      placement::plan_gang(std::move(options), gang_demand(job.spec), job.spec.one_zone);
  if (plan.empty()) return make_room_for_gang(job);
  uint32_t next = 0;
  for (const auto& assignment : plan) {
    agent::Worker& worker = *workers_[assignment.machine];
    for (uint32_t k = 0; k < assignment.tasks; ++k)
      env_.changes.add({job.spec.id, next++},
                       TaskChange::placed(worker.name, worker.capacity.partition, *attempt));
    env_.context.debug("placement", "{} tasks of gang {} attempt {} go to {} after {:.2f} s{}",
                       assignment.tasks, job.spec.id, *attempt, worker.name,
                       env_.context.now.wall - job.submitted_at,
                       worker.capacity.has_image(job.image) ? "" : ", image not there");
    env_.capacities.recompute(worker);
  }
}

// Evicts work of lower priority if that makes room for the whole gang, and keeps what is free from
// whoever comes after it in this pass: smaller jobs would take it each time.
void PlacementPass::make_room_for_gang(const model::Job& job) {
  const auto room = placement::most_gang_room(job.spec, machines_, feasibility_);
  if (!room) return;
  const auto& context = env_.context;
  const bool waits_long =
      context.now.wall - job.submitted_at > kSetAsideReports * context.settings.platform.report_s;
  const bool enough = room->tasks >= job.spec.tasks;
  if (!enough && !waits_long) return;
  const uint32_t missing = job.spec.tasks - set_aside_for_gang(job.spec, room->zone);
  if (!enough || missing == 0 || job.spec.priority == model::Priority::kIdle) return;
  ZoneLimits zones(job.spec);
  zones.restrict_to(room->zone);
  preempt(job, missing, zones, false);
}

// Returns for how many of the gang's tasks there is room, which nobody else gets in this pass. An
// empty zone stands for all.
uint32_t PlacementPass::set_aside_for_gang(const model::JobSpec& spec, const std::string& zone) {
  uint32_t missing = spec.tasks;
  for (size_t i = 0; i < machines_.size() && missing > 0; ++i) {
    const MachineCapacity& capacity = *machines_[i];
    if (!placement::Feasibility::allows(spec, capacity)) continue;
    if (!zone.empty() && capacity.zone != zone) continue;
    const uint32_t here = std::min(missing, slots(spec, i));
    set_aside_[i] += spec.request * here;
    missing -= here;
  }
  return spec.tasks - missing;
}

}  // namespace rooksill::partition
