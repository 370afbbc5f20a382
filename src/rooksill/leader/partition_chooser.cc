#include "rooksill/leader/partition_chooser.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>

#include "rooksill/model/machine.h"
#include "rooksill/model/resources.h"
#include "rooksill/quota/quota_shares.h"

namespace rooksill::leader {

namespace {

// Weights of the score, per task unless stated otherwise. Free capacity for all tasks at once
// counts most, then cached images that need not be pulled, then tasks that can be preempted.
constexpr double kCapacityWeight = 10;
constexpr double kImageWeight = 5;
constexpr double kPreemptionWeight = 2;
constexpr double kRelatedTaskWeight = 0.5;     // for a task of the same job that is placed there
constexpr double kSpareCapacityWeight = 0.01;  // for capacity beyond the need
constexpr double kMaxSpareTasks = 100;
constexpr double kTieBreakerWeight = 0.001;
constexpr double kFailedGangDivisor = 2;
constexpr double kInfeasibleScore = -1;
// Ordinary machines count for less for jobs that may run on spot machines.
constexpr double kOrdinaryForSpotRatio = 0.3;

bool has_zone_constraint(const model::JobSpec& spec) { return spec.spread || spec.one_zone; }

// Returns how many tasks, up to `max_tasks`, fit into the pool if `cpus` of its CPUs may be used,
// weighted by the suitability of its machines.
double tasks_in_pool(const model::JobSpec& spec, const MachinePool& pool, double max_tasks,
                     double cpus) {
  double tasks = max_tasks;
  const auto limit_by = [&tasks](double available, double requested) {
    if (requested <= 0) return;
    tasks = std::min(tasks, std::floor(available / requested + model::Resources::kRoundingError));
  };
  limit_by(cpus, spec.request.cpus);
  limit_by(pool.free_capacity.memory_gb, spec.request.memory_gb);
  limit_by(pool.free_capacity.gpus, spec.request.gpus);
  return std::max(0.0, tasks) * (spec.spot && !pool.spot ? kOrdinaryForSpotRatio : 1);
}

}  // namespace

void PartitionChooser::refresh(const wire::MachineStatusMap& statuses,
                               const std::vector<wire::QuotaUse>& use) {
  capacity_.rebuild(statuses);
  quotas_.reset(use);
}

int PartitionChooser::choose(const model::Job& job, uint32_t shard,
                             std::optional<int> failed_partition) {
  const Demand demand = demand_of(job, shard);
  const auto& pools = capacity_.pools();
  std::vector<quota::PartitionFit> fits(pools.size());
  std::vector<double> scores;
  for (size_t i = 0; i < pools.size(); ++i) {
    const int partition = static_cast<int>(i);
    scores.push_back(score(partition, demand, capacity_in(pools[i], demand),
                           failed_partition == partition, fits[i]));
  }
  const auto best = std::max_element(scores.begin(), scores.end()) - scores.begin();
  const double within_share = fits[static_cast<size_t>(best)].within_share;
  const int partition = static_cast<int>(best);
  if (within_share < demand.tasks) quotas_.record_shortage(job.spec, demand.tasks, fits);
  quotas_.deduct(job.spec, partition, std::min(demand.tasks, within_share));
  capacity_.deduct(partition, demand.filter, demand.tasks);
  return partition;
}

PartitionChooser::Demand PartitionChooser::demand_of(const model::Job& job, uint32_t shard) const {
  Demand demand;
  demand.spec = &job.spec;
  demand.shard = shard;
  demand.tasks = job.shards[shard].unplaced();
  demand.filter = {&job.spec, job.spec.zone};
  if (!has_zone_constraint(job.spec)) return demand;
  for (const auto& other : job.shards)
    for (const auto& task : other.tasks) {
      const model::Machine* machine =
          task.machine.empty() ? nullptr : replica_.machine(task.machine);
      if (machine == nullptr) continue;
      ++demand.placed_by_zone[machine->zone];
      demand.placed_by_partition[machine->partition] += kRelatedTaskWeight;
      if (job.spec.one_zone) demand.filter.zone = machine->zone;
    }
  return demand;
}

PartitionChooser::PartitionCapacity PartitionChooser::capacity_in(
    const std::vector<MachinePool>& pools, const Demand& demand) const {
  const model::JobSpec& spec = *demand.spec;
  PartitionCapacity capacity;
  std::map<std::string, double> tasks_by_zone;
  for (const MachinePool& pool : pools) {
    if (!demand.filter.allows(pool)) continue;
    tasks_by_zone[pool.zone] += tasks_in_pool(spec, pool, demand.tasks, pool.free_capacity.cpus);
    capacity.preemptible_cpus += pool.preemptible_cpus(spec.priority);
    auto with_image = pool.free_cpus_by_image.find(spec.image);
    if (with_image == pool.free_cpus_by_image.end()) continue;
    const double cpus = std::min(with_image->second, pool.free_capacity.cpus);
    capacity.with_image += tasks_in_pool(spec, pool, demand.tasks, cpus);
  }
  for (const auto& [zone, tasks] : tasks_by_zone) {
    if (spec.one_zone) {
      capacity.tasks = std::max(capacity.tasks, tasks);
    } else if (spec.spread) {
      auto placed = demand.placed_by_zone.find(zone);
      const uint32_t placed_in_zone = placed == demand.placed_by_zone.end() ? 0 : placed->second;
      const uint32_t allowed =
          spec.max_tasks_in_zone() - std::min(placed_in_zone, spec.max_tasks_in_zone());
      capacity.tasks += std::min(tasks, static_cast<double>(allowed));
    } else {
      capacity.tasks += tasks;
    }
  }
  return capacity;
}

// Also sets `fit`: how many tasks the partition has capacity for, and how many of them are within
// its quota share.
double PartitionChooser::score(int partition, const Demand& demand, PartitionCapacity capacity,
                               bool has_failed_before, quota::PartitionFit& fit) {
  const model::JobSpec& spec = *demand.spec;
  const double needed = demand.tasks;
  double score = 0;
  auto related = demand.placed_by_partition.find(partition);
  if (related != demand.placed_by_partition.end()) score = related->second;
  // A gang needs capacity for all of its tasks at once. Among partitions with less, the one with
  // the most is preferred.
  if (spec.shape == model::Shape::kGang && capacity.tasks < spec.tasks) {
    score += capacity.tasks;
    capacity.tasks = capacity.with_image = 0;
  }
  fit.within_capacity = capacity.tasks;
  // A partition whose quota share is smaller than one task cannot run the job, whatever its
  // capacity.
  if (quota::quota_share(context_.settings, replica_, spec.team, partition).cpus <
      spec.request.cpus)
    return kInfeasibleScore;
  const double quota_left = quotas_.remaining_tasks(spec, partition);
  fit.within_share = std::min(capacity.tasks, quota_left);
  const double tasks = fit.within_share;
  const double with_image = std::min(capacity.with_image, quota_left);
  // Tasks that exceed the free capacity go where preemption can free enough.
  const double unplaced = std::max(0.0, std::min(needed, quota_left) - tasks);
  if (spec.request.cpus > 0)
    score += kPreemptionWeight *
             std::min(unplaced, std::floor(capacity.preemptible_cpus / spec.request.cpus));
  score += kCapacityWeight * std::min(tasks, needed) + kImageWeight * std::min(with_image, needed) +
           kSpareCapacityWeight * std::min(tasks, kMaxSpareTasks);
  // Sums over machines overstate the capacity for a whole gang. If it found none in this partition,
  // another one with apparently enough capacity is preferred.
  if (has_failed_before) score /= kFailedGangDivisor;
  return score + tie_breaker(static_cast<size_t>(partition), demand);
}

// Spreads jobs evenly over partitions with equal scores.
double PartitionChooser::tie_breaker(size_t partition, const Demand& demand) const {
  const size_t rank = std::hash<std::string>{}(demand.spec->id) + demand.shard + partition;
  return kTieBreakerWeight * static_cast<double>(rank % replica_.leases.size());
}

}  // namespace rooksill::leader
