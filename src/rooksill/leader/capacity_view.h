// The leader's estimate of the free capacity in each partition, by machine type and zone.
#pragma once

#include <array>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/resources.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::leader {

// The total capacity of a partition's machines that have the same type and zone and are either all
// spot or all ordinary (non-spot) machines.
struct MachinePool {
  const model::MachineType* type = nullptr;  // owned by the store replica
  std::string zone;
  bool spot = false;
  model::Resources free_capacity;  // summed over the machines
  // CPUs used by the pool's tasks, by priority, without tasks that are being stopped.
  std::array<double, model::kPriorityCount> cpus_by_priority{};
  // Free CPUs on the machines that have the image in their cache.
  std::unordered_map<std::string, double> free_cpus_by_image;

  // Returns the CPUs that preempting every task of a lower priority would free.
  double preemptible_cpus(model::Priority priority) const;
};

// Constraints of a job on the machines that may run its tasks.
struct MachineFilter {
  const model::JobSpec* spec = nullptr;
  std::string zone;  // the only allowed zone; empty if every zone is allowed

  // Returns whether the job's tasks may run on the machines of the pool.
  bool allows(const MachinePool& pool) const;
};

// Estimates the free capacity of each partition: what the partition owner last reported, less what
// the leader has routed to the partition since. A stale estimate only delays placement, because
// owners check the actual capacity before they place a task.
class CapacityView {
 public:
  explicit CapacityView(const store::Replica& replica) : replica_(replica) {}

  // Discards all deductions and recomputes the pools from the reported machine statuses.
  void rebuild(const wire::MachineStatusMap& statuses);
  // Returns the pools by partition. A partition without reported machines has no pools.
  const std::vector<std::vector<MachinePool>>& pools();
  // Deducts the capacity that `tasks` tasks routed to the partition will use, so that the next
  // choice accounts for them before the partition owner reports them.
  void deduct(int partition, const MachineFilter& filter, double tasks);

 private:
  const store::Replica& replica_;
  std::vector<std::vector<MachinePool>> pools_;  // by partition
};

}  // namespace rooksill::leader
