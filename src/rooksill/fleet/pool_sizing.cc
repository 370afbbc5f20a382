#include "rooksill/fleet/pool_sizing.h"

#include <algorithm>
#include <utility>

namespace rooksill::fleet {

namespace {

constexpr double kMinimumChargeSeconds = 60;  // the cloud charges at least that for a machine
// A machine with images is worth more, as what starts there starts at once: each image adds so much
// to the cost of returning it.
constexpr double kCostOfImage = 0.25;
constexpr double kNoArrivals = 1e-6;  // λ below which an empty pool is not sized

// The scale of c2. What a late start costs follows from how rarely the users allow one.
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
  for (const auto& [name, machine] : replica.machines)
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
      // The objectives are kept with ordinary machines.
      size_pool(pool, type, machines[pool], statuses, spot ? 1 : factor);
    }
}

void PoolSizing::size_pool(const InstancePool& pool, const model::MachineType& type,
                           const std::vector<const model::Machine*>& machines,
                           const wire::MachineStatusMap& statuses, double unplanned_cost_factor) {
  const auto& operators = context_.settings.operators;
  const policy::Demand& demand = demand_.of(pool);
  const PoolState state = survey(machines, statuses);
  const PoolCeiling ceiling = ceiling_of(pool, type);
  policy::SizingInput input;
  input.x = state.rented;
  input.y = state.busy;
  input.lambda = demand.lambda();
  input.mu = demand.mu();
  input.ceiling = std::max(ceiling.all, input.x);
  input.periods = operators.horizon_periods;
  input.c1 = operators.planned_cost;
  input.c2 = operators.unplanned_cost * unplanned_cost_factor;
  input.h = operators.holding_cost;
  if (input.x == 0 && input.lambda < kNoArrivals) return;
  const policy::SizingResult result = policy::size_fleet(input);
  context_.info("policy",
                "{} {}: x {} y {:.2f} lambda {:.3f} mu {:.3f} E[y] {:.2f} E[v] {:.3f} u {} cost "
                "{:.2f} R {}",
                kind_name(pool), pool.type, input.x, input.y, input.lambda, input.mu,
                result.expected_y, result.expected_v, result.u, result.cost, input.ceiling);
  if (result.u > 0)
    rent_planned(pool, type, result.u, ceiling, state.machines_by_zone);
  else if (result.u < 0)
    drain_machines(pool, type, -result.u, state.candidates);
}

PoolSizing::PoolState PoolSizing::survey(const std::vector<const model::Machine*>& machines,
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
    state.busy += status.utilization;
    const double age = context_.now.wall - machine->rented;
    if (!status.is_up || age <= kMinimumChargeSeconds) continue;
    const auto images = static_cast<double>(status.images.size());
    state.candidates.push_back({status.utilization * (1 + kCostOfImage * images), machine});
  }
  return state;
}

// The paper's R: what may be configured, less where the cloud has shown that it has no more.
PoolSizing::PoolCeiling PoolSizing::ceiling_of(const InstancePool& pool,
                                               const model::MachineType& type) const {
  PoolCeiling ceiling;
  for (const auto& zone : type.zones) {
    const int in_zone = capacity_.ceiling({pool, zone});
    ceiling.by_zone[zone] = in_zone;
    ceiling.all += in_zone;
  }
  const int configured = context_.settings.operators.max_pool_machines;
  if (configured > 0) ceiling.all = std::min(configured, ceiling.all);
  return ceiling;
}

// One machine after the other, each in the zone that has the fewest.
void PoolSizing::rent_planned(const InstancePool& pool, const model::MachineType& type, int count,
                              const PoolCeiling& ceiling,
                              std::map<std::string, int> machines_by_zone) {
  std::map<std::string, int> wanted;
  for (int i = 0; i < count; ++i) {
    const std::string* best = nullptr;
    for (const auto& zone : type.zones) {
      const bool open = capacity_.is_open({pool, zone}) &&
                        machines_by_zone[zone] < ceiling.by_zone.at(zone) &&
                        wanted[zone] < kMaxMachinesPerRental;
      if (open && (best == nullptr || machines_by_zone[zone] < machines_by_zone[*best]))
        best = &zone;
    }
    if (best == nullptr) break;
    ++machines_by_zone[*best];
    ++wanted[*best];
  }
  for (const auto& [zone, machines] : wanted) rentals_.request({pool, zone}, machines, "planned");
}

// Idle machines first, then those with the least on them, which are emptied.
void PoolSizing::drain_machines(const InstancePool& pool, const model::MachineType& type, int count,
                                std::vector<ReturnCandidate> candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [](const ReturnCandidate& a, const ReturnCandidate& b) {
              return a.cost != b.cost ? a.cost < b.cost : a.machine->name < b.machine->name;
            });
  int left = count;
  for (const ReturnCandidate& candidate : candidates) {
    if (left == 0) break;
    if (!pool.spot) {
      if (!floors_.can_spare(*candidate.machine)) continue;
      floors_.subtract(*candidate.machine, type);
    }
    returns_.drain(candidate.machine->name);
    --left;
  }
}

}  // namespace rooksill::fleet
