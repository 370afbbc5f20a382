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
#include "rooksill/fleet/unreachable_machines.h"
#include "rooksill/fleet/zone_reserves.h"
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
  void record_task_events(const std::vector<store::TaskEvent>& events) { demand_.record_events(events); }
  void sample_demand() { demand_.sample(); }

  void start_term(uint64_t term);
  void end_term() { cloud_.end_term(); }

  // What follows is for the leader.

  // Whether the next tick makes use of the waiting tasks; others may be given none.
  bool needs_pending_tasks() const;
  // `waiting`: the most important job first. `suspect_partitions`: whose owners may have lost the
  // connection to their machines themselves.
  void tick(const wire::MachineStatusMap& statuses, const std::vector<PendingTasks>& pending,
            const std::set<int>& suspect_partitions, const UnreachableZones& unreachable);
  // A machine that reported to a controller without being in any list.
  void on_unassigned_machine(const wire::UnassignedMachine& report);

  // Machines on which nothing is to be started.
  const std::set<std::string>& draining() const { return returns_.draining(); }
  // What was found out since the last call: moves for the tasks' owners, machines' addresses.
  std::vector<wire::TaskMove> pop_moves() { return drain_moves_.pop_moves(); }
  std::vector<wire::Address> pop_addresses() { return inventory_.pop_addresses(); }

 private:
  void rent_on_demand(const wire::MachineStatusMap& statuses,
                      const std::vector<PendingTasks>& pending);
  void move_off_draining(const wire::MachineStatusMap& statuses);
  void size_pools(const wire::MachineStatusMap& statuses);

  runtime::Context& context_;
  const store::Replica& replica_;
  CloudClient cloud_;
  DemandMeter demand_;
  UnreachableMachines unreachable_machines_;
  MachineCatalog catalog_;
  MachineLists lists_;
  MachineReturns returns_;
  MachineReview review_;
  CapacityLimits capacity_limits_;
  Rentals rentals_;
  CloudInventory inventory_;
  OnDemandRentals on_demand_;
  DrainMoves drain_moves_;
  ZoneReserves zone_reserves_;
  PoolSizing pool_sizing_;
  // By the steady clock.
  double next_on_demand_at_ = 0;
  double next_moves_at_ = 0;
  double next_sizing_at_ = 0;
};

}  // namespace rooksill::fleet
