// Planned rentals and returns of each sizing period (the leasing rule of England and Weissman).
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

// Resizes each pool independently once per period: policy::size_fleet computes how many machines to
// add or remove, and this class rents them or drains the machines that are cheapest to empty.
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

  // Resizes all pools. ZoneReserves::measure must have been called before with the same statuses.
  void size_pools(const wire::MachineStatusMap& statuses);

 private:
  struct ReturnCandidate {
    double drain_cost = 0;  // load to be moved off, in machines, weighted by cached images
    const model::Machine* machine = nullptr;
  };
  // The current state of a pool.
  struct PoolState {
    int rented = 0;            // usable machines and those not reported yet: the paper's x
    double busy_machines = 0;  // load on these, in machines: the paper's y
    std::map<std::string, int> machines_by_zone;  // including unusable ones
    std::vector<ReturnCandidate> candidates;
  };
  // Limits on the number of machines of a pool.
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
