// Which tasks are evicted so that work of a higher priority finds room.
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

// What array jobs may evict. An eviction takes writes, to stop a task and to place it anew, so the
// budget grows with the rate of writes. Times are of the steady clock, in seconds.
class EvictionBudget {
 public:
  // Adds what has accrued since the last call, up to a bound.
  void refill(double writes_per_s, double now_s);
  bool can_afford(double cost) const { return remaining_ >= cost; }
  // May go below zero: a task is not evicted in part.
  void spend(double cost) { remaining_ -= cost; }

 private:
  double remaining_ = 0;
  double refilled_at_s_ = 0;
};

// A task that work of a higher priority may evict.
struct PreemptibleTask {
  model::Priority priority = model::Priority::kIdle;
  model::TaskRef task;
  model::Resources request;
};

// The tasks on a machine with a priority below the given one that may be evicted and are not yet.
using ListPreemptible = std::function<std::vector<PreemptibleTask>(const MachineCapacity& machine,
                                                                   model::Priority below)>;

// Tasks that need room, and what bounds where it may be made.
struct PreemptionDemand {
  const model::Job* job = nullptr;
  uint32_t tasks = 0;
  ZoneLimits zones;
  bool requires_cached_image = false;                     // on machines that have the job's image
  std::function<bool(int partition)> is_within_quota;  // whether one more task is
};

// The tasks to evict on one machine.
struct Eviction {
  size_t machine_index = 0;  // its place in the list of machines
  std::vector<model::TaskRef> tasks;
};

struct PreemptionPlan {
  uint32_t tasks = 0;  // of the demand, for which room is on its way
  std::vector<Eviction> evictions;
};

// Plans the preemption of one pass of placement, job after job. Room that was promised to one job
// is not promised to another; whoever carries a plan out has to update the capacities of the
// machines before the next one.
class PreemptionPlanner {
 public:
  using Machines = std::vector<const MachineCapacity*>;

  PreemptionPlanner(const Machines& machines, const Feasibility& feasibility,
                    EvictionBudget& budget, ListPreemptible list_preemptible);

  // Whether no more machines may be preempted in this pass.
  bool is_exhausted() const;
  // First what is being vacated already, as far as it is promised to nobody, then evictions.
  PreemptionPlan plan(PreemptionDemand demand);

 private:
  // A machine where evictions make room; the smaller the cost, the better.
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
  std::vector<model::Resources> reserved_;  // by machine
  int preempted_machines_ = 0;
};

}  // namespace rooksill::placement
