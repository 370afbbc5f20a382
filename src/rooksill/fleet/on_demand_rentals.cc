#include "rooksill/fleet/on_demand_rentals.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <set>
#include <utility>

#include "rooksill/fleet/gang_target.h"
#include "rooksill/quota/quota_shares.h"

namespace rooksill::fleet {

namespace {

constexpr double kRequestIntervalHeartbeats = 0.3;  // between two requests for one offer
// Maximum-size requests planned for one offer in a round before a more expensive offer is used.
constexpr int kMaxPlannedRequestsPerOffer = 1;
constexpr double kMinShare = 1e-6;  // of a machine that a task uses; avoids division by zero
// Cost increase per planned machine of an offer: spreads rentals over offers of the same price.
constexpr double kPlannedCostRatio = 0.01;

// Assigns tasks to one free space and updates the plan's count of unassigned tasks. Returns the
// number of tasks assigned.
template <typename Plan>
uint32_t assign_tasks(JobDemand& demand, FreeSpace& space, Plan& plan) {
  const uint32_t assigned = demand.assign_to(space);
  plan.unassigned(demand.spec()) -= assigned;
  return assigned;
}

// Returns whether one task fits in an empty machine. Compares without a rounding tolerance.
bool fits_machine(const model::JobSpec& spec, const model::MachineType& type) {
  return spec.request.cpus <= type.capacity.cpus && spec.request.gpus <= type.capacity.gpus &&
         spec.request.memory_gb <= type.capacity.memory_gb;
}

}  // namespace

int OnDemandRentals::Plan::planned_count(const Offer& offer) const {
  const auto rental = rentals.find(offer);
  return rental == rentals.end() ? 0 : rental->second.count;
}

void OnDemandRentals::rent_for(const std::vector<PendingTasks>& pending,
                               const wire::MachineStatusMap& statuses) {
  if (pending.empty()) return;
  Plan plan;
  plan.spaces = collect_free_spaces(statuses);
  double smallest_request = std::numeric_limits<double>::infinity();
  for (const PendingTasks& tasks : pending) {
    const model::JobSpec& spec = tasks.job->spec;
    smallest_request = std::min(smallest_request, spec.request.cpus);
    plan.unassigned(spec) += tasks.count;
  }
  std::erase_if(plan.spaces, [&](const FreeSpace& space) {
    return space.free.cpus + model::Resources::kRoundingError < smallest_request;
  });
  for (const PendingTasks& tasks : pending) plan_job(tasks, statuses, plan);
  request_rentals(plan);
}

std::vector<FreeSpace> OnDemandRentals::collect_free_spaces(
    const wire::MachineStatusMap& statuses) const {
  std::vector<FreeSpace> spaces;
  for (const auto& [name, machine] : replica_.machines())
    if (auto space = free_space_on(machine, statuses)) spaces.push_back(*std::move(space));
  for (const model::Machine* machine : lists_.pending_additions()) {
    const auto type = replica_.types.find(machine->type);
    if (type != replica_.types.end()) spaces.push_back(empty_machine(type->second, *machine));
  }
  for (const auto& [name, rental] : rentals_.unresolved()) {
    const auto type = replica_.types.find(rental.offer.pool.type);
    if (type == replica_.types.end()) continue;
    for (int i = 0; i < rental.count; ++i)
      spaces.push_back(empty_machine(type->second, rental.offer, rental.partition));
  }
  return spaces;
}

// Returns the free resources reported by the owner for a machine that is up, and the full capacity
// for a machine that is booting and not overdue.
std::optional<FreeSpace> OnDemandRentals::free_space_on(
    const model::Machine& machine, const wire::MachineStatusMap& statuses) const {
  const auto type = replica_.types.find(machine.type);
  if (type == replica_.types.end()) return std::nullopt;
  if (returns_.is_leaving(machine.name) || returns_.is_draining(machine.name)) return std::nullopt;
  FreeSpace space = empty_machine(type->second, machine);
  const auto status = statuses.find(machine.name);
  if (status != statuses.end() && status->second.is_up) {
    space.free = free_resources(status->second);
    if (space.free.cpus > 0) return space;
    return std::nullopt;
  }
  const double age = context_.now.wall - machine.rented_at;
  if (age < model::kLateBootRatio * type->second.boot_s) return space;
  return std::nullopt;
}

JobDemand OnDemandRentals::make_demand(const PendingTasks& pending, const Plan& plan) const {
  const model::JobSpec& spec = pending.job->spec;
  JobDemand demand(pending, replica_);
  // A quota too small to be divided is held by a single partition: only space there can be used.
  const int partition = quota::undivided_quota_partition(context_.settings, replica_, spec.team)
                            .value_or(kAnyPartition);
  demand.restrict_to_partition(partition);
  if (spec.shape != model::Shape::kGang) return demand;
  const GangTarget target =
      choose_gang_target(spec, plan.spaces, partition, replica_, capacity_limits_);
  demand.restrict_to_partition(target.partition);
  if (spec.one_zone) demand.restrict_to_zone(target.zone);
  return demand;
}

void OnDemandRentals::plan_job(const PendingTasks& pending, const wire::MachineStatusMap& statuses,
                               Plan& plan) {
  JobDemand demand = make_demand(pending, plan);
  for (FreeSpace& space : plan.spaces) {
    if (demand.unassigned() == 0) break;
    assign_tasks(demand, space, plan);
  }
  reuse_draining_machines(demand, statuses, plan);
  plan_rentals(demand, plan);
}

// Keeps draining machines that can run the tasks, instead of renting new ones.
void OnDemandRentals::reuse_draining_machines(JobDemand& demand,
                                              const wire::MachineStatusMap& statuses, Plan& plan) {
  const std::set<std::string> draining = returns_.draining();
  for (const auto& name : draining) {
    if (demand.unassigned() == 0) break;
    std::optional<FreeSpace> space = free_space_on_draining(name, demand.spec(), statuses);
    if (!space || assign_tasks(demand, *space, plan) == 0) continue;
    context_.info("fleet", "drain of machine {} cancelled: it can run pending tasks", name);
    plan.spaces.push_back(*std::move(space));
    returns_.stop_draining(name);
  }
}

// Returns the free space on a draining machine if a task of the job fits in it.
std::optional<FreeSpace> OnDemandRentals::free_space_on_draining(
    const std::string& name, const model::JobSpec& spec,
    const wire::MachineStatusMap& statuses) const {
  const model::Machine* machine = replica_.machine(name);
  if (machine == nullptr || returns_.is_being_released(name)) return std::nullopt;
  const auto status = statuses.find(name);
  if (status == statuses.end() || !status->second.is_up) return std::nullopt;
  const auto type = replica_.types.find(machine->type);
  if (type == replica_.types.end()) return std::nullopt;
  const model::Resources& capacity = type->second.capacity;
  const double load = status->second.utilization;
  if (load + capacity.dominant_share(spec.request) > 1) return std::nullopt;
  FreeSpace space = empty_machine(type->second, *machine);
  space.free = capacity * (1 - load);
  return space;
}

void OnDemandRentals::plan_rentals(JobDemand& demand, Plan& plan) const {
  while (demand.unassigned() > 0) {
    const std::optional<OfferChoice> choice = cheapest_offer(demand, plan);
    if (!choice) break;
    PlannedRental& rental = plan.rentals[choice->offer];
    ++rental.count;
    if (demand.partition() != kAnyPartition) rental.partition = demand.partition();
    plan.spaces.push_back(empty_machine(*choice->type, choice->offer, demand.partition()));
    if (assign_tasks(demand, plan.spaces.back(), plan) == 0) break;
  }
}

// Returns the offer with the lowest price per task for the job's unassigned tasks. The number of
// tasks counted per machine is limited to twice the unassigned tasks of all jobs that allow the
// same kinds of machines, so that a machine larger than the tasks can use is not preferred.
std::optional<OnDemandRentals::OfferChoice> OnDemandRentals::cheapest_offer(const JobDemand& demand,
                                                                            Plan& plan) const {
  const model::JobSpec& spec = demand.spec();
  const double max_useful_tasks = 2.0 * plan.unassigned(spec);
  std::optional<OfferChoice> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& [name, type] : replica_.types) {
    if (!spec.allows_type(name) || !fits_machine(spec, type)) continue;
    const double share = std::max(kMinShare, type.capacity.dominant_share(spec.request));
    const double tasks = std::min(std::max(1.0, std::floor(1 / share)), max_useful_tasks);
    for (const bool spot : {true, false}) {
      if (spot && !spec.spot) continue;
      const double price = spot ? type.spot_price : type.price;
      for (const auto& zone : type.zones) {
        const Offer offer{{name, spot}, zone};
        const int planned = plan.planned_count(offer);
        if (demand.zone_allowance(zone) == 0 || !capacity_limits_.can_request(offer)) continue;
        if (planned >= kMaxPlannedRequestsPerOffer * kMaxMachinesPerRental) continue;
        const double cost = price / tasks * (1 + kPlannedCostRatio * planned);
        if (cost >= best_cost) continue;
        best_cost = cost;
        best = OfferChoice{offer, &type};
      }
    }
  }
  return best;
}

// Requests the largest rentals first, because the cloud limits the rate of calls, and each offer at
// most once per interval.
void OnDemandRentals::request_rentals(const Plan& plan) {
  std::vector<std::pair<Offer, PlannedRental>> rentals(plan.rentals.begin(), plan.rentals.end());
  std::stable_sort(rentals.begin(), rentals.end(),
                   [](const auto& a, const auto& b) { return a.second.count > b.second.count; });
  const double interval_s = kRequestIntervalHeartbeats * context_.settings.platform.report_s;
  for (const auto& [offer, rental] : rentals)
    if (!rentals_.was_requested_within(offer, interval_s))
      rentals_.request(offer, rental.count, "on demand", rental.partition);
}

}  // namespace rooksill::fleet
