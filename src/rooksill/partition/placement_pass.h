// One placement pass over the machines that are currently schedulable.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "rooksill/agent/worker.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/changes/owned_partitions.h"
#include "rooksill/changes/task_change_queue.h"
#include "rooksill/model/job.h"
#include "rooksill/model/resources.h"
#include "rooksill/partition/capacity_tracker.h"
#include "rooksill/partition/quota_usage.h"
#include "rooksill/placement/evicted_tasks.h"
#include "rooksill/placement/feasibility.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/placement/preemption.h"
#include "rooksill/placement/task_plan.h"
#include "rooksill/placement/unmet_requests.h"
#include "rooksill/placement/work_order.h"
#include "rooksill/placement/zone_limits.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"

namespace rooksill::partition {

// Places the tasks of one shard after the other; the caller passes the shards in order of urgency.
// Package placement plans the machines of the tasks and the evictions for them. Each plan is
// applied immediately, so that the next one sees the capacity that remains. Decisions are queued as
// task state changes; none of them is in the store yet when the pass returns.
class PlacementPass {
 public:
  // The state that a pass reads and changes. All of it must outlive the pass.
  struct Environment {
    runtime::Context& context;
    const store::Replica& replica;
    const changes::OwnedPartitions& owned_partitions;
    changes::TaskChangeQueue& changes;
    agent::WorkerTable& workers;
    CapacityTracker& capacities;
    QuotaUsage& quota_usage;
    placement::EvictedTasks& evicted_tasks;
    // Returns whether tasks of the job with this id have failed on the machine.
    std::function<bool(const std::string& job, const std::string& machine)> has_failed_on;
  };

  // `workers` are the schedulable workers, with up-to-date capacities. `budget` limits evictions
  // across passes.
  PlacementPass(Environment environment, placement::EvictionBudget& budget,
                std::vector<agent::Worker*> workers);

  // Not copyable: members hold references to other members.
  PlacementPass(const PlacementPass&) = delete;
  PlacementPass& operator=(const PlacementPass&) = delete;

  // Places as many of the shard's tasks as there is capacity for. Not for gangs.
  void place_shard(const placement::PendingShard& pending);
  // Places all tasks of the gang or none. If it does not fit, may preempt and reserve capacity.
  void place_gang(const placement::PendingShard& pending);

 private:
  // The tasks of one shard that are to be placed, in the order in which they are assigned.
  struct ShardTasks {
    const model::Job* job = nullptr;
    uint32_t shard = 0;
    std::vector<uint32_t> indexes;  // task indexes in the shard
    size_t placed = 0;              // how many of `indexes` are already assigned
  };

  std::vector<uint32_t> tasks_to_place(const placement::PendingShard& pending) const;
  std::optional<placement::ZoneLimits> zone_limits(const model::Job& job) const;
  bool count_placed_tasks(const model::Job& job, uint32_t shard,
                          placement::ZoneLimits& zones) const;
  void count_unwritten_placements(const model::Job& job, uint32_t shard,
                                  placement::ZoneLimits& zones) const;
  void count_task_on(const std::string& machine, const model::JobSpec& spec,
                     placement::ZoneLimits& zones) const;
  uint32_t free_slots(const model::JobSpec& spec, size_t machine);
  std::vector<placement::MachineOption> machine_options(const model::Job& job,
                                                        const placement::ZoneLimits& zones);
  void assign_tasks(std::span<const placement::MachineOption> options, placement::Demand& demand,
                    ShardTasks& tasks);
  uint32_t preempt(const model::Job& job, uint32_t tasks, const placement::ZoneLimits& zones,
                   bool only_with_image);
  std::vector<placement::PreemptibleTask> preemptible_tasks(
      const placement::MachineCapacity& machine, model::Priority below) const;

  std::optional<uint64_t> next_gang_attempt(const model::Job& job) const;
  placement::Demand gang_demand(const model::JobSpec& spec);
  void reserve_capacity_for_gang(const model::Job& job);
  uint32_t reserve_free_slots(const model::JobSpec& spec, const std::string& zone);

  const Environment environment_;
  const std::vector<agent::Worker*> workers_;
  // Capacities of the workers' machines, parallel to workers_.
  const std::vector<const placement::MachineCapacity*> machines_;
  const placement::Feasibility feasibility_;
  const double cheapest_cpu_;  // price per CPU and hour
  placement::PreemptionPlanner preemption_;
  placement::UnmetRequests unmet_requests_;
  std::vector<model::Resources> reserved_;  // by machine: free capacity kept for pending gangs
};

}  // namespace rooksill::partition
