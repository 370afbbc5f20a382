// Capacity reserved in each zone for service replicas.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "rooksill/fleet/capacity_limits.h"
#include "rooksill/fleet/machine_returns.h"
#include "rooksill/fleet/offer.h"
#include "rooksill/fleet/rentals.h"
#include "rooksill/model/machine.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// The sizing policy treats a pool as a whole and misses two needs: a spread job needs capacity in a
// second zone, and the replicas of a lost machine need capacity at once. So each zone reserves
// capacity for a few replicas, and all zones together for the replicas of the machine with the most
// of them. Tasks of lower priority may use the reserve; replicas preempt them.
//
// Only ordinary machines, not spot machines, contribute to the reserves.
class ZoneReserves {
 public:
  ZoneReserves(runtime::Context& context, const store::Replica& replica, MachineReturns& returns,
               const CapacityLimits& capacity_limits, Rentals& rentals)
      : context_(context),
        replica_(replica),
        returns_(returns),
        capacity_limits_(capacity_limits),
        rentals_(rentals) {}

  // Computes the available capacity and the reserves. Must be called before the functions below.
  void measure(const wire::MachineStatusMap& statuses);
  // Returns whether the reserves of the machine's zone and of all zones hold without this machine.
  bool can_spare(const model::Machine& machine) const;
  // Subtracts the capacity of a machine that is to be returned.
  void subtract(const model::Machine& machine, const model::MachineType& type);
  // In each zone with less capacity than its reserve, cancels the drain of a machine or, if none is
  // draining, rents machines.
  void replenish();

 private:
  // In CPUs.
  struct ZoneCapacity {
    double available = 0;  // not used by replicas, on usable, booting and requested machines
    double reserved = 0;   // to be kept available
  };
  // An offer with the capacity of its machine type.
  struct RentalChoice {
    Offer offer;
    double cpus = 0;  // of one machine
  };

  bool is_available(const model::Machine& machine, const wire::MachineStatusMap& statuses) const;
  void add_available(const std::string& zone, double cpus);
  void add_rentals();
  void record_largest_replica(const model::Machine& machine,
                              std::map<std::string, double>& largest_by_zone) const;
  bool keep_draining_machine(const std::string& zone);
  std::optional<RentalChoice> cheapest_offer(const std::string& zone) const;
  void rent_shortfall(const std::string& zone, const ZoneCapacity& capacity);

  runtime::Context& context_;
  const store::Replica& replica_;
  MachineReturns& returns_;
  const CapacityLimits& capacity_limits_;
  Rentals& rentals_;
  std::map<std::string, ZoneCapacity> capacity_by_zone_;  // kAllZones: the sum over all zones
};

}  // namespace rooksill::fleet
