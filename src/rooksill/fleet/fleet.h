// Management of the machine fleet by the leader: renting machines from the cloud, draining them and
// releasing them.
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

// Owns the components of fleet management and runs them in order on each tick of the leader.
// Requests and plans in progress belong to one term: a new leader starts from the store and the
// cloud's list of machines.
class Fleet {
 public:
  Fleet(runtime::Context& context, store::Replica& replica, store::Committer& committer);

  // Count task events and sample machine utilization for the demand estimate. Both are called on
  // every controller, so that a new leader has an estimate from the start.
  void record_task_events(const std::vector<store::TaskEvent>& events) {
    demand_.record_events(events);
  }
  void sample_demand() { demand_.sample(); }

  // Resets the state that belongs to a term and starts to send requests to the cloud.
  void start_term(uint64_t term);
  // Stops sending requests to the cloud and drops the responses that still arrive.
  void end_term() { cloud_.end_term(); }

  // The functions below are called on the leader only.

  // Returns whether the next tick rents for pending tasks; `pending` may be empty for other ticks.
  bool needs_pending_tasks() const;
  // Runs all components once. `statuses`: the machines' statuses as last reported by the partition
  // owners. `pending`: ordered by importance, the most important job first. `suspect_partitions`:
  // partitions whose owners may have lost their own connection to the machines, so that their
  // reports of unreachable machines are ignored. `unreachable`: zones that owners cannot reach.
  void tick(const wire::MachineStatusMap& statuses, const std::vector<PendingTasks>& pending,
            const std::set<int>& suspect_partitions, const UnreachableZones& unreachable);
  // Handles a machine that sent a heartbeat to a controller but is in no partition's list.
  void on_unassigned_machine(const wire::UnassignedMachine& report);

  // Returns the machines being drained, on which no task may be started.
  const std::set<std::string>& draining() const { return returns_.draining(); }
  // Return the task moves (for the partition owners) and the machine addresses that were collected
  // since the last call, and clear them.
  std::vector<wire::TaskMove> extract_moves() { return drain_moves_.extract_moves(); }
  std::vector<wire::MachineAddress> extract_addresses() { return inventory_.extract_addresses(); }

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
  // Times of the next rounds, by the steady clock.
  double next_on_demand_at_ = 0;
  double next_moves_at_ = 0;
  double next_sizing_at_ = 0;
};

}  // namespace rooksill::fleet
