// The planned rentals and returns of each period (the paper's leasing rule).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "rooksill/fleet/capacity_limits.h"
#include "rooksill/fleet/demand_meter.h"
#include "rooksill/fleet/machine_returns.h"
#include "rooksill/fleet/offer.h"
#include "rooksill/fleet/rentals.h"
#include "rooksill/fleet/zone_reserves.h"
#include "rooksill/model/machine.h"
#include "rooksill/policy/sizing.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// Once a period each pool is sized by itself: policy::size_fleet says how many machines more or
// fewer it should have, and this rents them or drains those that are the easiest to empty.
class PoolSizing {
 public:
  PoolSizing(runtime::Context& context, const store::Replica& replica, DemandMeter& demand,
             const CapacityLimits& capacity_limits, Rentals& rentals, MachineReturns& returns,
             ZoneReserves& zone_reserves)
      : context_(context),
        replica_(replica),
        demand_(demand),
        capacity_limits_(capacity_limits),
        rentals_(rentals),
        returns_(returns),
        zone_reserves_(zone_reserves) {}

  // The zone floors must have been measured before.
  void size_pools(const wire::MachineStatusMap& statuses);

 private:
  struct ReturnCandidate {
    double drain_cost = 0;  // of emptying it, in machines' worth of work
    const model::Machine* machine = nullptr;
  };
  // What a pool has.
  struct PoolState {
    int rented = 0;                               // machines to be counted on: the paper's x
    double busy_machines = 0;                              // machines' worth of tasks on them: the paper's y
    std::map<std::string, int> machines_by_zone;  // all of them
    std::vector<ReturnCandidate> candidates;
  };
  // How many machines a pool can have.
  struct PoolLimit {
    std::map<std::string, int> by_zone;
    int total = 0;
  };

  void size_pool(const InstancePool& pool, const model::MachineType& type,
                 const std::vector<const model::Machine*>& machines,
                 const wire::MachineStatusMap& statuses, double unplanned_cost_factor);
  PoolState measure_pool(const std::vector<const model::Machine*>& machines,
                   const wire::MachineStatusMap& statuses) const;
  PoolLimit limit_of(const InstancePool& pool, const model::MachineType& type) const;
  void rent_planned(const InstancePool& pool, const model::MachineType& type, int count,
                    const PoolLimit& limit, std::map<std::string, int> machines_by_zone);
  void drain_machines(const InstancePool& pool, const model::MachineType& type, int count,
                      std::vector<ReturnCandidate> candidates);

  runtime::Context& context_;
  const store::Replica& replica_;
  DemandMeter& demand_;
  const CapacityLimits& capacity_limits_;
  Rentals& rentals_;
  MachineReturns& returns_;
  ZoneReserves& zone_reserves_;
};

}  // namespace rooksill::fleet
