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

constexpr double kPauseReports = 0.3;  // report intervals between two rentals of one offer
// Requests' worth of one offer that is planned before a dearer offer is used.
constexpr int kRequestsAhead = 1;
constexpr double kSmallestShare = 1e-6;
// Prefers, among offers of the same price, the one that is planned least.
constexpr double kCostOfPlanned = 0.01;

// Assigns tasks to one space, and keeps the plan's count of those without one.
template <typename Plan>
uint32_t assign(JobDemand& demand, FreeSpace& space, Plan& plan) {
  const uint32_t assigned = demand.assign_to(space);
  plan.unassigned(demand.spec()) -= assigned;
  return assigned;
}

// Whether one task fits in an empty machine, without allowance for rounding.
bool fits_machine(const model::JobSpec& spec, const model::MachineType& type) {
  return spec.request.cpus <= type.capacity.cpus && spec.request.gpus <= type.capacity.gpus &&
         spec.request.memory_gb <= type.capacity.memory_gb;
}

}  // namespace

int OnDemandRentals::Plan::planned(const Offer& offer) const {
  const auto rental = rentals.find(offer);
  return rental == rentals.end() ? 0 : rental->second.count;
}

void OnDemandRentals::rent_for(const std::vector<WaitingTasks>& waiting,
                               const wire::MachineStatusMap& statuses) {
  if (waiting.empty()) return;
  Plan plan;
  plan.spaces = find_spaces(statuses);
  double smallest_request = std::numeric_limits<double>::infinity();
  for (const WaitingTasks& tasks : waiting) {
    const model::JobSpec& spec = tasks.job->spec;
    smallest_request = std::min(smallest_request, spec.request.cpus);
    plan.unassigned(spec) += tasks.count;
  }
  std::erase_if(plan.spaces, [&](const FreeSpace& space) {
    return space.free.cpus + model::Resources::kRoundingError < smallest_request;
  });
  for (const WaitingTasks& tasks : waiting) plan_job(tasks, statuses, plan);
  request(plan);
}

std::vector<FreeSpace> OnDemandRentals::find_spaces(const wire::MachineStatusMap& statuses) const {
  std::vector<FreeSpace> spaces;
  for (const auto& [name, machine] : replica_.machines)
    if (auto space = space_on(machine, statuses)) spaces.push_back(*std::move(space));
  for (const model::Machine* machine : lists_.pending()) {
    const auto type = replica_.types.find(machine->type);
    if (type != replica_.types.end()) spaces.push_back(empty_machine(type->second, *machine));
  }
  for (const auto& [name, rental] : rentals_.under_way()) {
    const auto type = replica_.types.find(rental.offer.pool.type);
    if (type == replica_.types.end()) continue;
    for (int i = 0; i < rental.count; ++i)
      spaces.push_back(empty_machine(type->second, rental.offer, rental.partition));
  }
  return spaces;
}

// A machine that is up counts with what its owner reports to be free, one that is booting with all
// it has, until its boot is late.
std::optional<FreeSpace> OnDemandRentals::space_on(const model::Machine& machine,
                                                   const wire::MachineStatusMap& statuses) const {
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
  const double age = context_.now.wall - machine.rented;
  if (age < model::kLateBoot * type->second.boot_s) return space;
  return std::nullopt;
}

JobDemand OnDemandRentals::make_demand(const WaitingTasks& waiting, const Plan& plan) const {
  const model::JobSpec& spec = waiting.job->spec;
  JobDemand demand(waiting, replica_);
  // A quota too small to be divided lies with one partition: only space there is of use.
  const int partition = quota::undivided_quota_partition(context_.settings, replica_, spec.team)
                            .value_or(kAnyPartition);
  demand.restrict_to_partition(partition);
  if (spec.shape != model::Shape::kGang) return demand;
  const GangTarget target = choose_gang_target(spec, plan.spaces, partition, replica_, capacity_);
  demand.restrict_to_partition(target.partition);
  if (spec.one_zone) demand.restrict_to_zone(target.zone);
  return demand;
}

void OnDemandRentals::plan_job(const WaitingTasks& waiting, const wire::MachineStatusMap& statuses,
                               Plan& plan) {
  JobDemand demand = make_demand(waiting, plan);
  for (FreeSpace& space : plan.spaces) {
    if (demand.unassigned() == 0) break;
    assign(demand, space, plan);
  }
  use_draining_machines(demand, statuses, plan);
  plan_rentals(demand, plan);
}

// A machine that was to be returned is kept instead of renting another one.
void OnDemandRentals::use_draining_machines(JobDemand& demand,
                                            const wire::MachineStatusMap& statuses, Plan& plan) {
  const std::set<std::string> draining = returns_.draining();
  for (const auto& name : draining) {
    if (demand.unassigned() == 0) break;
    std::optional<FreeSpace> space = space_on_draining(name, demand.spec(), statuses);
    if (!space || assign(demand, *space, plan) == 0) continue;
    context_.info("fleet", "machine {} is kept for waiting tasks", name);
    plan.spaces.push_back(*std::move(space));
    returns_.stop_draining(name);
  }
}

// What a draining machine has free, if a task of the job fits in it.
std::optional<FreeSpace> OnDemandRentals::space_on_draining(
    const std::string& name, const model::JobSpec& spec,
    const wire::MachineStatusMap& statuses) const {
  const model::Machine* machine = replica_.machine(name);
  if (machine == nullptr || returns_.is_releasing(name)) return std::nullopt;
  const auto status = statuses.find(name);
  if (status == statuses.end() || !status->second.is_up) return std::nullopt;
  const auto type = replica_.types.find(machine->type);
  if (type == replica_.types.end()) return std::nullopt;
  const model::Resources& capacity = type->second.capacity;
  const double load = status->second.utilization;
  if (load + capacity.share_of(spec.request) > 1) return std::nullopt;
  FreeSpace space = empty_machine(type->second, *machine);
  space.free = capacity * (1 - load);
  return space;
}

void OnDemandRentals::plan_rentals(JobDemand& demand, Plan& plan) const {
  while (demand.unassigned() > 0) {
    const std::optional<Choice> choice = cheapest_offer(demand, plan);
    if (!choice) break;
    PlannedRental& rental = plan.rentals[choice->offer];
    ++rental.count;
    if (demand.partition() != kAnyPartition) rental.partition = demand.partition();
    plan.spaces.push_back(empty_machine(*choice->type, choice->offer, demand.partition()));
    if (assign(demand, plan.spaces.back(), plan) == 0) break;
  }
}

// The cheapest way to hold what still waits of a job: the price for each task that the machine will
// have use for, over all jobs that wait.
std::optional<OnDemandRentals::Choice> OnDemandRentals::cheapest_offer(const JobDemand& demand,
                                                                       Plan& plan) const {
  const model::JobSpec& spec = demand.spec();
  const double useful = 2.0 * plan.unassigned(spec);
  std::optional<Choice> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& [name, type] : replica_.types) {
    if (!spec.allows_type(name) || !fits_machine(spec, type)) continue;
    const double share = std::max(kSmallestShare, type.capacity.share_of(spec.request));
    const double tasks = std::min(std::max(1.0, std::floor(1 / share)), useful);
    for (const bool spot : {true, false}) {
      if (spot && !spec.spot) continue;
      const double price = spot ? type.spot_price : type.price;
      for (const auto& zone : type.zones) {
        const Offer offer{{name, spot}, zone};
        const int planned = plan.planned(offer);
        if (demand.zone_allowance(zone) == 0 || !capacity_.is_open(offer)) continue;
        if (planned >= kRequestsAhead * kMaxMachinesPerRental) continue;
        const double cost = price / tasks * (1 + kCostOfPlanned * planned);
        if (cost >= best_cost) continue;
        best_cost = cost;
        best = Choice{offer, &type};
      }
    }
  }
  return best;
}

// The largest need first, as the cloud takes only so many calls; and at most one call for each
// offer every few seconds.
void OnDemandRentals::request(const Plan& plan) {
  std::vector<std::pair<Offer, PlannedRental>> rentals(plan.rentals.begin(), plan.rentals.end());
  std::stable_sort(rentals.begin(), rentals.end(),
                   [](const auto& a, const auto& b) { return a.second.count > b.second.count; });
  const double pause = kPauseReports * context_.settings.platform.report_s;
  for (const auto& [offer, rental] : rentals)
    if (!rentals_.requested_within(offer, pause))
      rentals_.request(offer, rental.count, "on demand", rental.partition);
}

}  // namespace rooksill::fleet
