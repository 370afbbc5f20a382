// Space for replicas that each zone keeps.
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

// The sizing rule counts a pool as a whole. Two needs escape it: a spread job needs space in a
// second zone, and the replicas of a lost machine need space at once. So each zone keeps a few
// replicas' worth, and all zones together what the fullest machine has. Lower work may use that
// space meanwhile: it makes room for replicas.
//
// Only ordinary machines count.
class ZoneReserves {
 public:
  ZoneReserves(runtime::Context& context, const store::Replica& replica, MachineReturns& returns,
             const CapacityLimits& capacity_limits, Rentals& rentals)
      : context_(context),
        replica_(replica),
        returns_(returns),
        capacity_limits_(capacity_limits),
        rentals_(rentals) {}

  // Adds up what there is and what has to be kept. Called before the questions below.
  void measure(const wire::MachineStatusMap& statuses);
  // Whether enough is left without this machine, in its zone and in all of them.
  bool can_spare(const model::Machine& machine) const;
  // Counts the space of a machine that is to be returned no more.
  void subtract(const model::Machine& machine, const model::MachineType& type);
  // Where less is left than the floor: keeps a machine that was to be returned, or rents.
  void replenish();

 private:
  // In CPUs.
  struct ZoneCapacity {
    double available = 0;  // that no replica uses, on machines that are up or about to be
    double reserved = 0;      // what is kept of it
  };
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
  std::map<std::string, ZoneCapacity> capacity_by_zone_;  // with all zones together under kAllZones
};

}  // namespace rooksill::fleet
