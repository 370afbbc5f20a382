// Gang jobs inside the partitions that this controller holds: all tasks of an attempt are placed by
// one change, or none is; once one of them is gone, the rest of the attempt is stopped, and the
// next attempt waits until all of it is gone.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/changes/task_change.h"
#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/placement/gang_plan.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::partition {

using changes::TaskChange;

namespace {
constexpr double kSlack = 1e-9;  // sums of fractions
// A gang that waits longer than so many reports keeps what comes free from work of lower rank.
constexpr double kSetAsideReports = 1;
}  // namespace

// Whether a task of the attempt that the state has is gone, or known here to be.
bool PartitionOwner::gang_broken(const model::Job& job) const {
  for (uint32_t c = 0; c < job.shards.size(); ++c) {
    const model::TaskShard& shard = job.shards[c];
    const changes::ShardChanges* pending = changes_.find_shard({job.spec.id, c});
    for (uint32_t i = 0; i < shard.tasks.size(); ++i) {
      const model::TaskState& t = shard.tasks[i];
      if (t.done) continue;
      if (t.machine.empty()) return true;
      if (replica_.machine_gone(t.machine) && replica_.lists_cover(shard)) return true;
      if (pending == nullptr) continue;
      const TaskChange* change = pending->find(i);
      if (change != nullptr && change->kind == TaskChange::Kind::kLost) return true;
    }
  }
  return false;
}

// Tells all of a gang's tasks on the machines held here to stop and save, at once: those that are
// told later than `gang_peer_s` after the first save nothing.
void PartitionOwner::stop_gang(const model::Job& job) {
  for (const auto& shard : job.shards)
    for (uint32_t i = 0; i < shard.tasks.size(); ++i) {
      const model::TaskState& t = shard.tasks[i];
      agent::Worker* w = workers_.find(t.machine);
      if (t.machine.empty() || w == nullptr) continue;
      const uint32_t first =
          static_cast<uint32_t>(&shard - job.shards.data()) * job.tasks_per_shard;
      if (!evicted_.insert_or_assign({job.spec.id, first + i}, t.attempt).second) continue;
      workers_.mark_changed(*w);
    }
}

// The number of the next attempt, if all tasks of the one before are gone for certain.
std::optional<uint64_t> PartitionOwner::next_gang_attempt(const model::Job& job) const {
  const model::TaskShard& shard = job.shards.front();
  const changes::ShardChanges* pending = changes_.find_shard({job.spec.id, 0});
  uint64_t last = 0;
  for (uint32_t i = 0; i < shard.tasks.size(); ++i) {
    const model::TaskState& t = shard.tasks[i];
    last = std::max(last, t.attempt);
    const TaskChange* change = pending == nullptr ? nullptr : pending->find(i);
    if (change != nullptr) {
      // Reported gone, and not written yet: the next place may go with the same change.
      if (change->kind != TaskChange::Kind::kLost || pending->in_flight()) return std::nullopt;
    } else if (!replica_.waits(t) || (!t.machine.empty() && !replica_.lists_cover(shard))) {
      return std::nullopt;
    }
  }
  return last + 1;
}

std::vector<placement::GangOption> PartitionOwner::gang_options(
    const model::Job& job, const std::vector<agent::Worker*>& workers) {
  std::vector<placement::GangOption> out;
  out.reserve(workers.size());
  for (const agent::Worker* w : workers) {
    const placement::Room& room = w->room;
    placement::GangOption option{room.zone, room.partition, 0, 0, 0};
    if (allowed(job.spec, *w)) option.slots = slots(job.spec, *w);
    if (option.slots > 0) {
      option.score = score(job, *w);
      if (!w->images.contains(job.image))
        option.start_s = job.spec.image_gb / std::max(0.01, room.type->fetch_gb_per_s) *
                         (1 + static_cast<double>(room.fetching.size()));
    }
    out.push_back(std::move(option));
  }
  return out;
}

std::map<int, double> PartitionOwner::gang_tasks_left(const model::JobSpec& s) {
  std::map<int, double> out;
  for (const int partition : owned_.list()) {
    const auto& used = quota_use_[{partition, s.team}];
    const model::QuotaShare& share = team_quota(s.team, partition);
    const double left = s.tasks_in({share.cpus - used.first, share.gpus - used.second,
                                    std::numeric_limits<double>::infinity()});
    out[partition] = std::clamp<double>(left, 0, s.tasks);
  }
  return out;
}

void PartitionOwner::place_gang(const Candidate& c, const std::vector<agent::Worker*>& workers) {
  const model::Job& job = *c.job;
  const model::JobSpec& s = job.spec;
  if (job.shards.size() != 1) return;
  const auto attempt = next_gang_attempt(job);
  if (!attempt) return;
  const auto options = gang_options(job, workers);
  const placement::GangDemand demand{s.tasks, s.one_zone, s.spread ? s.most_in_zone() : s.tasks,
                                     gang_tasks_left(s)};
  const auto plan = placement::plan_gang(options, demand);
  if (plan.empty()) return make_room_for_gang(job, workers);
  uint32_t next = 0;
  for (const auto& place : plan) {
    agent::Worker& w = *workers[place.option];
    for (uint32_t k = 0; k < place.tasks; ++k) {
      const model::TaskRef ref{s.id, next++};
      changes_.add(ref, TaskChange::placed(w.name, w.room.partition, *attempt));
    }
    ctx_.debug("placer", "{} tasks of gang {} attempt {} go to {} after {:.2f} s{}", place.tasks,
               s.id, *attempt, w.name, ctx_.now.wall - job.submitted,
               w.images.contains(job.image) ? "" : ", image not there");
    work_out_room(w);
  }
}

// Stops work of lower priority if that makes room for the whole gang, and keeps what is free from
// whoever comes after it in this pass: smaller jobs would take it each time.
void PartitionOwner::make_room_for_gang(const model::Job& job,
                                        const std::vector<agent::Worker*>& workers) {
  const model::JobSpec& s = job.spec;
  std::map<std::string, double> could_hold;  // by zone
  for (const agent::Worker* w : workers) {
    if (!allowed(s, *w) || s.request.cpus <= 0) continue;
    const placement::Room& room = w->room;
    double cpus = room.cpus + room.leaving_cpus - reserve(s, room);
    for (size_t p = 0; p < static_cast<size_t>(s.priority); ++p) cpus += room.cpus_by_priority[p];
    could_hold[s.one_zone ? room.zone : ""] +=
        std::max(0.0, std::floor((cpus + kSlack) / s.request.cpus));
  }
  const auto best =
      std::max_element(could_hold.begin(), could_hold.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  if (best == could_hold.end()) return;
  const std::string zone = best->first;
  uint32_t missing = s.tasks;
  const bool waits_long =
      ctx_.now.wall - job.submitted > kSetAsideReports * ctx_.settings.platform.report_s;
  const bool enough = best->second >= s.tasks;
  if (!enough && !waits_long) return;
  for (agent::Worker* w : workers) {
    if (missing == 0) break;
    if (!allowed(s, *w) || (!zone.empty() && w->room.zone != zone)) continue;
    const uint32_t here = std::min(missing, slots(s, *w));
    Unmet& taken = set_aside_[w];
    taken.cpus += here * s.request.cpus;
    taken.gpus += here * s.request.gpus;
    taken.memory += here * s.request.memory_gb;
    missing -= here;
  }
  if (enough && missing > 0 && s.priority > model::Priority::kIdle)
    make_room(job, missing, workers, {}, zone, false);
}

}  // namespace rooksill::partition
