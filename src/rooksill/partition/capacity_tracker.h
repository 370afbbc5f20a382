// Tracks the free capacity of the machines in the owned partitions and the quota usage on them.
#pragma once

#include "rooksill/agent/worker.h"
#include "rooksill/partition/quota_usage.h"
#include "rooksill/placement/evicted_tasks.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/store/replica.h"

namespace rooksill::partition {

// Derives a machine's capacity from the tasks that the store has placed on it, the tasks that its
// worker reported, and the changes that are decided but not yet written to the store. The result is
// cached in the worker and recomputed on access after one of these inputs has changed
// (agent::Worker::is_capacity_stale).
class CapacityTracker {
 public:
  CapacityTracker(const store::Replica& replica, const placement::EvictedTasks& evicted_tasks,
                  QuotaUsage& quota_usage)
      : replica_(replica), evicted_tasks_(evicted_tasks), quota_usage_(quota_usage) {}

  // Returns the capacity of the worker's machine; recomputes it first if it is stale.
  const placement::MachineCapacity& capacity(agent::Worker& worker);
  // Recomputes the capacity of the worker's machine and updates the quota usage accordingly.
  void recompute(agent::Worker& worker);
  // Subtracts what the tasks on the worker's machine use from the quota usage. Must be called
  // before the worker is removed.
  void remove_usage(agent::Worker& worker);

 private:
  // Returns the capacity that the machine has when no task runs on it.
  placement::MachineCapacity capacity_without_tasks(const agent::Worker& worker) const;
  // Accounts for the tasks that the store has placed on the machine.
  void add_placed_tasks(const agent::Worker& worker, placement::MachineCapacity& capacity) const;
  // Accounts for the worker's report and for placements that are not yet written to the store.
  void add_pending_changes(const agent::Worker& worker, placement::MachineCapacity& capacity) const;

  const store::Replica& replica_;
  const placement::EvictedTasks& evicted_tasks_;
  QuotaUsage& quota_usage_;
};

}  // namespace rooksill::partition
