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

constexpr int kReplicasPerRound = 1;
constexpr int kArrayTasksPerRound = 3;
constexpr double kMovesPerMachine = 0.02;  // more of either in a round, for each machine there is
constexpr int kLooksPerRound = 48;

// Unlike Resources::fits_in without allowance for rounding.
bool has_free(const wire::MachineStatus& status, const model::Resources& request) {
  const model::Resources free = free_resources(status);
  return request.cpus <= free.cpus && request.memory_gb <= free.memory_gb &&
         request.gpus <= free.gpus;
}

bool has_image(const wire::MachineStatus& status, const std::string& image) {
  return std::find(status.images.begin(), status.images.end(), image) != status.images.end();
}

}  // namespace

void DrainMoves::plan(const wire::MachineStatusMap& statuses) {
  const std::set<std::string>& draining = returns_.draining();
  if (draining.empty()) return;
  const auto machines = static_cast<double>(replica_.machines.size());
  const auto extra = static_cast<int>(kMovesPerMachine * machines);
  Budget budget{kReplicasPerRound + extra, kArrayTasksPerRound + extra, kLooksPerRound};
  auto next = draining.upper_bound(last_machine_);
  for (size_t i = 0; i < draining.size() && !budget.exhausted(); ++i, ++next) {
    if (next == draining.end()) next = draining.begin();
    last_machine_ = *next;
    const model::Machine* from = replica_.machine(*next);
    if (from != nullptr) plan_moves_off(*from, statuses, budget);
  }
}

void DrainMoves::plan_moves_off(const model::Machine& from, const wire::MachineStatusMap& statuses,
                                Budget& budget) {
  for (const model::TaskRef& task : replica_.placed_on(from.name)) {
    const model::Job& job = *replica_.job(task.job);
    const bool service = job.spec.shape == model::Shape::kService;
    int& left = service ? budget.replicas : budget.array_tasks;
    if (left <= 0 || budget.looks <= 0 || !is_movable(job)) continue;
    --budget.looks;
    if (!has_target(job, from, statuses)) continue;
    context_.debug("fleet", "task {} is moved off {}", wire::task_name(task), from.name);
    moves_.push_back({task.job, task.index, replica_.task(task)->attempt});
    --left;
  }
}

// A service's replica only while all others are placed, and an array's task only if it saves its
// progress. A gang would be lost whole with one task; gangs are left to finish.
bool DrainMoves::is_movable(const model::Job& job) const {
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

// Whether a task could start elsewhere at once: the image is there already, so that the move costs
// a few messages' time.
bool DrainMoves::has_target(const model::Job& job, const model::Machine& from,
                            const wire::MachineStatusMap& statuses) const {
  const model::JobSpec& spec = job.spec;
  std::map<std::string, uint32_t> tasks_by_zone;
  if (spec.spread) {
    tasks_by_zone = replica_.tasks_by_zone(job);
    --tasks_by_zone[from.zone];
  }
  for (const auto& [name, status] : statuses) {
    if (!status.is_up || status.is_draining || !has_free(status, spec.request)) continue;
    const model::Machine* to = replica_.machine(name);
    if (to == nullptr || name == from.name || returns_.is_draining(name)) continue;
    if (to->spot && !spec.spot) continue;
    if (!spec.zone.empty() && to->zone != spec.zone) continue;
    if (spec.one_zone && to->zone != from.zone) continue;
    if (spec.spread && tasks_by_zone[to->zone] >= spec.most_in_zone()) continue;
    if (spec.allows_type(to->type) && has_image(status, spec.image)) return true;
  }
  return false;
}

}  // namespace rooksill::fleet
