// Selects the tasks to evict so that work of a higher priority can be placed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/model/resources.h"
#include "rooksill/placement/feasibility.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/placement/zone_limits.h"

namespace rooksill::placement {

// Limits the evictions on behalf of array jobs. An eviction costs writes to the store, to stop the
// task and to place it again, so the budget grows with the rate of writes. Times are in seconds of
// the steady clock.
class EvictionBudget {
 public:
  // Adds the budget that has accrued since the last call, up to a limit. `writes_per_s` is this
  // controller's share of the store's write limit.
  void refill(double writes_per_s, double now_s);
  // Returns whether the budget covers an eviction of this cost.
  bool can_afford(double cost) const { return remaining_ >= cost; }
  // Subtracts the cost. The budget may go below zero: an eviction is not carried out in part, and
  // the budget is checked once per machine, for a single eviction.
  void spend(double cost) { remaining_ -= cost; }

 private:
  double remaining_ = 0;      // in units of an eviction for an urgent job
  double refilled_at_s_ = 0;  // of the last refill()
};

// A task that work of a higher priority may evict.
struct PreemptibleTask {
  model::Priority priority = model::Priority::kIdle;
  model::TaskRef task;
  model::Resources request;
};

// Lists the tasks on a machine with a priority below the given one that may be evicted and have not
// been evicted yet.
using ListPreemptible = std::function<std::vector<PreemptibleTask>(const MachineCapacity& machine,
                                                                   model::Priority below)>;

// Tasks that need capacity, and the limits on where it may be freed.
struct PreemptionDemand {
  const model::Job* job = nullptr;
  uint32_t tasks = 0;  // number of tasks without capacity
  ZoneLimits zones;
  bool requires_cached_image = false;  // only machines that have the job's image
  // Returns whether the team's quota allows one more task in the partition.
  std::function<bool(int partition)> is_within_quota;
};

// The tasks to evict on one machine.
struct Eviction {
  size_t machine_index = 0;  // in the planner's list of machines
  std::vector<model::TaskRef> tasks;
};

// The result of PreemptionPlanner::plan().
struct PreemptionPlan {
  uint32_t tasks = 0;  // of the demand, for which capacity is being or will be freed
  std::vector<Eviction> evictions;
};

// Plans the preemption of one placement pass, job after job. Capacity that is reserved for one job
// is not reserved for another. The caller has to carry out each plan and update the machines'
// capacities before it asks for the next one.
class PreemptionPlanner {
 public:
  using Machines = std::vector<const MachineCapacity*>;

  // The references must outlive the planner.
  PreemptionPlanner(const Machines& machines, const Feasibility& feasibility,
                    EvictionBudget& budget, ListPreemptible list_preemptible);

  // Returns whether evictions have been planned on the maximum number of machines for one pass.
  bool is_exhausted() const;
  // Reserves capacity for the demand: first what evicted tasks are about to free and is not
  // reserved yet, then what new evictions free.
  PreemptionPlan plan(PreemptionDemand demand);

 private:
  // A machine where evictions can free capacity. A lower cost is better.
  struct Candidate {
    double cost = 0;
    size_t machine_index = 0;
  };

  bool can_use(const PreemptionDemand& demand, const MachineCapacity& machine) const;
  model::Resources unreserved(const model::JobSpec& spec, size_t machine_index) const;
  void reserve(PreemptionDemand& demand, size_t machine_index, PreemptionPlan& plan);
  void reserve_evicting(PreemptionDemand& demand, PreemptionPlan& plan);
  std::vector<Candidate> rank_candidates(const PreemptionDemand& demand) const;
  void evict_on(size_t machine_index, PreemptionDemand& demand, PreemptionPlan& plan);

  const Machines& machines_;
  const Feasibility& feasibility_;
  EvictionBudget& budget_;
  ListPreemptible list_preemptible_;
  std::vector<model::Resources> reserved_;  // by machine index
  int preempted_machines_ = 0;              // in this pass
};

}  // namespace rooksill::placement
