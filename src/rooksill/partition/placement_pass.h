// One pass of placement over the machines that take tasks at present.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "rooksill/agent/worker.h"
#include "rooksill/model/job.h"
#include "rooksill/model/resources.h"
#include "rooksill/placement/feasibility.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/placement/preemption.h"
#include "rooksill/placement/task_plan.h"
#include "rooksill/placement/unmet_requests.h"
#include "rooksill/placement/work_order.h"
#include "rooksill/placement/zone_limits.h"

namespace rooksill::partition {

class PartitionOwner;

// Takes shards in the order of their urgency: plans where their tasks go and what is evicted for
// them (package placement), and applies each plan at once, so that the next one is made on what is
// left. What it decides becomes changes of task states; nothing is in the store when it returns.
class PlacementPass {
 public:
  PlacementPass(PartitionOwner& owner, placement::EvictionBudget& budget,
                std::vector<agent::Worker*> workers);

  // Places as many of the shard's tasks as find room. Not for gangs.
  void place_shard(const placement::WaitingShard& waiting);
  // Places all tasks of the gang or none.
  void place_gang(const placement::WaitingShard& waiting);

 private:
  // Tasks of a shard that look for places, in the order in which they get them.
  struct ShardTasks {
    const model::Job* job = nullptr;
    uint32_t shard = 0;
    std::vector<uint32_t> indexes;  // in the shard
    size_t placed = 0;              // of these
  };

  std::vector<uint32_t> tasks_to_place(const placement::WaitingShard& waiting) const;
  std::optional<placement::ZoneLimits> zone_limits(const model::Job& job) const;
  bool count_by_zone(const model::Job& job, uint32_t shard, placement::ZoneLimits& zones) const;
  void count_on(const std::string& machine, const model::JobSpec& spec,
                placement::ZoneLimits& zones) const;
  bool failed_there(const model::Job& job, const agent::Worker& worker) const;
  uint32_t slots(const model::JobSpec& spec, size_t machine);
  std::vector<placement::MachineOption> options_for(const model::Job& job,
                                                    const placement::ZoneLimits& zones);
  void assign(std::span<const placement::MachineOption> options, placement::Demand& demand,
              ShardTasks& tasks);
  uint32_t preempt(const model::Job& job, uint32_t tasks, const placement::ZoneLimits& zones,
                   bool only_with_image);
  std::vector<placement::PreemptibleTask> list_preemptible(
      const placement::MachineCapacity& machine, model::Priority below) const;

  std::optional<uint64_t> next_gang_attempt(const model::Job& job) const;
  placement::Demand gang_demand(const model::JobSpec& spec);
  void make_room_for_gang(const model::Job& job);
  uint32_t set_aside_for_gang(const model::JobSpec& spec, const std::string& zone);

  PartitionOwner& owner_;
  const std::vector<agent::Worker*> workers_;
  const std::vector<const placement::MachineCapacity*> machines_;  // of the workers
  const placement::Feasibility feasibility_;
  const double cheapest_cpu_;  // price, an hour
  placement::PreemptionPlanner preemption_;
  placement::UnmetRequests unmet_;
  std::vector<model::Resources> set_aside_;  // by machine: free, and kept for gangs that wait
};

}  // namespace rooksill::partition
