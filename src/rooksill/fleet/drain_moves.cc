#include "rooksill/fleet/drain_moves.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "rooksill/fleet/free_space.h"
#include "rooksill/model/resources.h"
#include "rooksill/wire/names.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::fleet {

namespace {

constexpr int kReplicaMovesPerRound = 1;
constexpr int kArrayTaskMovesPerRound = 3;
// Additional moves of each kind in a round, per machine of the fleet.
constexpr double kExtraMovesPerMachine = 0.02;
constexpr int kChecksPerRound = 48;

// Unlike Resources::fits_in, compares without a rounding tolerance.
bool has_capacity_for(const wire::MachineStatus& status, const model::Resources& request) {
  const model::Resources free = free_resources(status);
  return request.cpus <= free.cpus && request.memory_gb <= free.memory_gb &&
         request.gpus <= free.gpus;
}

bool has_image(const wire::MachineStatus& status, const std::string& image) {
  return std::find(status.images.begin(), status.images.end(), image) != status.images.end();
}

}  // namespace

void DrainMoves::plan_moves(const wire::MachineStatusMap& statuses) {
  const std::set<std::string>& draining = returns_.draining();
  if (draining.empty()) return;
  const auto machines = static_cast<double>(replica_.machines().size());
  const auto extra = static_cast<int>(kExtraMovesPerMachine * machines);
  Budget budget{kReplicaMovesPerRound + extra, kArrayTaskMovesPerRound + extra, kChecksPerRound};
  auto next = draining.upper_bound(last_checked_machine_);
  for (size_t i = 0; i < draining.size() && !budget.is_exhausted(); ++i, ++next) {
    if (next == draining.end()) next = draining.begin();
    last_checked_machine_ = *next;
    const model::Machine* from = replica_.machine(*next);
    if (from != nullptr) plan_moves_off(*from, statuses, budget);
  }
}

void DrainMoves::plan_moves_off(const model::Machine& from, const wire::MachineStatusMap& statuses,
                                Budget& budget) {
  for (const model::TaskRef& task : replica_.placed_on(from.name)) {
    const model::Job* job = replica_.job(task.job);
    const model::TaskState* state = replica_.task(task);
    if (job == nullptr || state == nullptr) continue;
    const bool service = job->spec.shape == model::Shape::kService;
    int& moves_left = service ? budget.replicas : budget.array_tasks;
    if (moves_left <= 0 || budget.checks <= 0 || !can_move(*job)) continue;
    --budget.checks;
    if (!has_target(*job, from, statuses)) continue;
    context_.debug("fleet", "moving task {} off draining machine {}", wire::task_name(task),
                   from.name);
    moves_.push_back({task.job, task.index, state->attempt});
    --moves_left;
  }
}

// Allows moves of a service's replica only while all its replicas are placed, and of an array's
// task only if it saves checkpoints. Stopping one task of a gang would end the whole gang, so gangs
// are left to finish.
bool DrainMoves::can_move(const model::Job& job) const {
  if (job.over()) return false;
  switch (job.spec.shape) {
    case model::Shape::kService:
      return job.placed == job.spec.tasks;
    case model::Shape::kArray:
      return job.spec.checkpoint_s > 0;
    case model::Shape::kGang:
      return false;
  }
  return false;
}

// Returns whether another machine has capacity for the task and its image in the cache, so that the
// move takes no longer than a few messages.
bool DrainMoves::has_target(const model::Job& job, const model::Machine& from,
                            const wire::MachineStatusMap& statuses) const {
  const model::JobSpec& spec = job.spec;
  std::map<std::string, uint32_t> tasks_by_zone;
  if (spec.spread) {
    tasks_by_zone = replica_.tasks_by_zone(job);
    --tasks_by_zone[from.zone];
  }
  for (const auto& [name, status] : statuses) {
    if (!status.is_up || status.is_draining || !has_capacity_for(status, spec.request)) continue;
    const model::Machine* to = replica_.machine(name);
    if (to == nullptr || name == from.name || returns_.is_draining(name)) continue;
    if (to->spot && !spec.spot) continue;
    if (!spec.zone.empty() && to->zone != spec.zone) continue;
    if (spec.one_zone && to->zone != from.zone) continue;
    if (spec.spread && tasks_by_zone[to->zone] >= spec.max_tasks_in_zone()) continue;
    if (spec.allows_type(to->type) && has_image(status, spec.image)) return true;
  }
  return false;
}

}  // namespace rooksill::fleet
