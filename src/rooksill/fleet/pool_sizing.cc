#include "rooksill/fleet/pool_sizing.h"

#include <algorithm>
#include <utility>

namespace rooksill::fleet {

namespace {

constexpr double kMinimumChargeSeconds = 60;  // the cloud's minimum charge for a machine
// Each cached image raises a machine's drain cost by this ratio, because tasks that use the image
// start there without a pull.
constexpr double kImageCostRatio = 0.25;
constexpr double kMinArrivalRate = 1e-6;  // an empty pool with a smaller λ is not sized

// Returns the factor for c2, the cost of an unplanned rental. A late start costs the more, the
// smaller the share of late starts that the wait-time objectives allow: 1 / (1 - share).
double unplanned_cost_factor(const PlatformSettings& platform) {
  double factor = 1;
  for (const auto& objective : platform.objectives)
    if (objective.kind == ObjectiveKind::kWait && objective.target_share < 1)
      factor = std::max(factor, 1 / (1 - objective.target_share));
  return factor;
}

using MachinesByPool = std::map<InstancePool, std::vector<const model::Machine*>>;

MachinesByPool machines_by_pool(const store::Replica& replica) {
  MachinesByPool machines;
  for (const auto& [name, machine] : replica.machines())
    machines[{machine.type, machine.spot}].push_back(&machine);
  return machines;
}

}  // namespace

void PoolSizing::size_pools(const wire::MachineStatusMap& statuses) {
  const double factor = unplanned_cost_factor(context_.settings.platform);
  MachinesByPool machines = machines_by_pool(replica_);
  for (const auto& [name, type] : replica_.types)
    for (const bool spot : {false, true}) {
      const InstancePool pool{name, spot};
      // The objectives are met with ordinary machines only.
      size_pool(pool, type, machines[pool], statuses, spot ? 1 : factor);
    }
}

void PoolSizing::size_pool(const InstancePool& pool, const model::MachineType& type,
                           const std::vector<const model::Machine*>& machines,
                           const wire::MachineStatusMap& statuses, double unplanned_cost_factor) {
  const auto& operators = context_.settings.operators;
  const policy::Demand& demand = demand_.demand_of(pool);
  const PoolState state = measure_pool(machines, statuses);
  const PoolLimit limit = limit_of(pool, type);
  policy::SizingInput input;
  input.rented = state.rented;
  input.busy = state.busy_machines;
  input.arrival_rate = demand.arrival_rate();
  input.service_rate = demand.service_rate();
  input.max_machines = std::max(limit.total, input.rented);
  input.horizon_periods = operators.horizon_periods;
  input.planned_cost = operators.planned_cost;
  input.unplanned_cost = operators.unplanned_cost * unplanned_cost_factor;
  input.holding_cost = operators.holding_cost;
  if (input.rented == 0 && input.arrival_rate < kMinArrivalRate) return;
  const policy::SizingResult result = policy::size_fleet(input);
  context_.info("policy",
                "{} {}: x {} y {:.2f} lambda {:.3f} mu {:.3f} E[y] {:.2f} E[v] {:.3f} u {} cost "
                "{:.2f} R {}",
                pool_kind_name(pool), pool.type, input.rented, input.busy, input.arrival_rate,
                input.service_rate, result.expected_busy, result.expected_unplanned,
                result.machines_to_rent, result.cost, input.max_machines);
  if (result.machines_to_rent > 0)
    rent_planned(pool, type, result.machines_to_rent, limit, state.machines_by_zone);
  else if (result.machines_to_rent < 0)
    drain_machines(pool, type, -result.machines_to_rent, state.candidates);
}

PoolSizing::PoolState PoolSizing::measure_pool(const std::vector<const model::Machine*>& machines,
                                               const wire::MachineStatusMap& statuses) const {
  PoolState state;
  for (const model::Machine* machine : machines) {
    ++state.machines_by_zone[machine->zone];
    if (returns_.is_leaving(machine->name) || returns_.is_draining(machine->name)) continue;
    const auto found = statuses.find(machine->name);
    if (found == statuses.end()) {
      ++state.rented;
      continue;
    }
    const wire::MachineStatus& status = found->second;
    if (status.is_faulty || status.is_unreachable || status.has_termination_notice) continue;
    ++state.rented;
    state.busy_machines += status.utilization;
    const double age = context_.now.wall - machine->rented_at;
    if (!status.is_up || age <= kMinimumChargeSeconds) continue;
    const auto images = static_cast<double>(status.images.size());
    state.candidates.push_back({status.utilization * (1 + kImageCostRatio * images), machine});
  }
  return state;
}

// Computes the paper's R: the configured limit, or less where the cloud has refused requests.
PoolSizing::PoolLimit PoolSizing::limit_of(const InstancePool& pool,
                                           const model::MachineType& type) const {
  PoolLimit limit;
  for (const auto& zone : type.zones) {
    const int zone_limit = capacity_limits_.machine_limit({pool, zone});
    limit.by_zone[zone] = zone_limit;
    limit.total += zone_limit;
  }
  const int configured = context_.settings.operators.max_pool_machines;
  if (configured > 0) limit.total = std::min(configured, limit.total);
  return limit;
}

// Distributes the machines one by one, each to the zone with the fewest machines of the pool.
void PoolSizing::rent_planned(const InstancePool& pool, const model::MachineType& type, int count,
                              const PoolLimit& limit, std::map<std::string, int> machines_by_zone) {
  std::map<std::string, int> requests;
  for (int i = 0; i < count; ++i) {
    const std::string* best = nullptr;
    for (const auto& zone : type.zones) {
      const bool can_request = capacity_limits_.can_request({pool, zone}) &&
                               machines_by_zone[zone] < limit.by_zone.at(zone) &&
                               requests[zone] < kMaxMachinesPerRental;
      if (can_request && (best == nullptr || machines_by_zone[zone] < machines_by_zone[*best]))
        best = &zone;
    }
    if (best == nullptr) break;
    ++machines_by_zone[*best];
    ++requests[*best];
  }
  for (const auto& [zone, machines] : requests) rentals_.request({pool, zone}, machines, "planned");
}

// Drains idle machines first, then those with the lowest drain cost.
void PoolSizing::drain_machines(const InstancePool& pool, const model::MachineType& type, int count,
                                std::vector<ReturnCandidate> candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [](const ReturnCandidate& a, const ReturnCandidate& b) {
              return a.drain_cost != b.drain_cost ? a.drain_cost < b.drain_cost
                                                  : a.machine->name < b.machine->name;
            });
  int remaining = count;
  for (const ReturnCandidate& candidate : candidates) {
    if (remaining == 0) break;
    if (!pool.spot) {
      if (!zone_reserves_.can_spare(*candidate.machine)) continue;
      zone_reserves_.subtract(*candidate.machine, type);
    }
    returns_.drain(candidate.machine->name);
    --remaining;
  }
}

}  // namespace rooksill::fleet
