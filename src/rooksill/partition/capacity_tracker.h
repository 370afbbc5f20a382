// Keeps the free capacity of this controller's machines, and with it the use of quotas.
#pragma once

#include "rooksill/agent/worker.h"
#include "rooksill/partition/quota_usage.h"
#include "rooksill/placement/evicted_tasks.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/store/replica.h"

namespace rooksill::partition {

// A machine's capacity follows from what the store has on it, what its worker reported, and what is
// decided and not written yet. It is kept with the worker and computed anew when it is asked for
// after one of these changed (agent::Worker::capacity_stale).
class CapacityTracker {
 public:
  CapacityTracker(const store::Replica& replica, const placement::EvictedTasks& evicted_tasks,
                  QuotaUsage& quota_usage)
      : replica_(replica), evicted_tasks_(evicted_tasks), quota_usage_(quota_usage) {}

  const placement::MachineCapacity& capacity(agent::Worker& worker);
  void recompute(agent::Worker& worker);
  // The worker is about to be removed.
  void remove_usage(agent::Worker& worker);

 private:
  placement::MachineCapacity capacity_without_tasks(const agent::Worker& worker) const;
  void add_placed_tasks(const agent::Worker& worker, placement::MachineCapacity& capacity) const;
  void add_pending_changes(const agent::Worker& worker,
                             placement::MachineCapacity& capacity) const;

  const store::Replica& replica_;
  const placement::EvictedTasks& evicted_tasks_;
  QuotaUsage& quota_usage_;
};

}  // namespace rooksill::partition
