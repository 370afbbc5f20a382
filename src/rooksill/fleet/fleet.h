// The leader's work on the machines: what is rented, where, and what is returned to the cloud.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "rooksill/fleet/capacity_limits.h"
#include "rooksill/fleet/cloud_client.h"
#include "rooksill/fleet/cloud_inventory.h"
#include "rooksill/fleet/demand_meter.h"
#include "rooksill/fleet/drain_moves.h"
#include "rooksill/fleet/job_demand.h"
#include "rooksill/fleet/machine_catalog.h"
#include "rooksill/fleet/machine_lists.h"
#include "rooksill/fleet/machine_returns.h"
#include "rooksill/fleet/machine_review.h"
#include "rooksill/fleet/on_demand_rentals.h"
#include "rooksill/fleet/pool_sizing.h"
#include "rooksill/fleet/rentals.h"
#include "rooksill/fleet/silent_machines.h"
#include "rooksill/fleet/zone_floors.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// Owns the parts of the fleet's management and runs them in turn with each tick of the leader. What
// is under way belongs to a term: a new leader starts from the store and the cloud's list.
class Fleet {
 public:
  Fleet(runtime::Context& context, store::Replica& replica, store::Committer& committer);

  // Called on every controller, so that a new leader has its figures ready.
  void measure(const std::vector<store::TaskEvent>& events) { demand_.record(events); }
  void observe() { demand_.sample(); }

  void start_term(uint64_t term);
  void stop() { cloud_.stop(); }

  // What follows is for the leader.

  // Whether the next tick makes use of the waiting tasks; others may be given none.
  bool wants_waiting() const;
  // `waiting`: the most important job first. `suspect_partitions`: whose owners may have lost the
  // connection to their machines themselves.
  void tick(const wire::MachineStatusMap& statuses, const std::vector<WaitingTasks>& waiting,
            const std::set<int>& suspect_partitions, const UnreachableZones& unreachable);
  // A machine that reported to a controller without being in any list.
  void on_unassigned_machine(const wire::UnassignedMachine& report);

  // Machines on which nothing is to be started.
  const std::set<std::string>& draining() const { return returns_.draining(); }
  // What was found out since the last call: moves for the tasks' owners, machines' addresses.
  std::vector<wire::TaskMove> take_moves() { return drain_moves_.take_moves(); }
  std::vector<wire::MachineAddress> take_addresses() { return inventory_.take_addresses(); }

 private:
  void rent_on_demand(const wire::MachineStatusMap& statuses,
                      const std::vector<WaitingTasks>& waiting);
  void move_off_draining(const wire::MachineStatusMap& statuses);
  void size_pools(const wire::MachineStatusMap& statuses);

  runtime::Context& context_;
  const store::Replica& replica_;
  CloudClient cloud_;
  DemandMeter demand_;
  SilentMachines silent_machines_;
  MachineCatalog catalog_;
  MachineLists lists_;
  MachineReturns returns_;
  MachineReview review_;
  CapacityLimits capacity_;
  Rentals rentals_;
  CloudInventory inventory_;
  OnDemandRentals on_demand_;
  DrainMoves drain_moves_;
  ZoneFloors zone_floors_;
  PoolSizing pool_sizing_;
  // By the steady clock.
  double next_on_demand_ = 0;
  double next_moves_ = 0;
  double next_sizing_ = 0;
};

}  // namespace rooksill::fleet
