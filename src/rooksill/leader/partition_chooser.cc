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

// The score's weights, per task if nothing else is said. Room for all tasks at once counts most,
// then images that need not be fetched, then work that can be preempted.
constexpr double kRoomWeight = 10;
constexpr double kImageWeight = 5;
constexpr double kPreemptionWeight = 2;
constexpr double kRelatedTaskWeight = 0.5;  // for a task of the job that is placed there already
constexpr double kSpareRoomWeight = 0.01;   // for room beyond what is needed
constexpr double kMaxSpareRoom = 100;       // tasks
constexpr double kTieBreakerWeight = 0.001;
constexpr double kFailedBeforeDivisor = 2;
constexpr double kCannotTakeScore = -1;
// Ordinary machines are worth less to work that may run on spot machines.
constexpr double kOrdinaryForSpotFactor = 0.3;

bool depends_on_zones(const model::JobSpec& spec) { return spec.spread || spec.one_zone; }

// How many of the wanted tasks fit into a pool of which so many CPUs may be used, weighted by how
// suitable its machines are.
double tasks_in_pool(const model::JobSpec& spec, const MachinePool& pool, double wanted,
                     double cpus) {
  double tasks = wanted;
  const auto limit_by = [&tasks](double available, double requested) {
    if (requested <= 0) return;
    tasks = std::min(tasks, std::floor(available / requested + model::Resources::kRoundingError));
  };
  limit_by(cpus, spec.request.cpus);
  limit_by(pool.free.memory_gb, spec.request.memory_gb);
  limit_by(pool.free.gpus, spec.request.gpus);
  return std::max(0.0, tasks) * (spec.spot && !pool.spot ? kOrdinaryForSpotFactor : 1);
}

}  // namespace

void PartitionChooser::refresh(const wire::MachineStatusMap& statuses,
                               const std::vector<wire::QuotaUse>& use) {
  capacity_.rebuild(statuses);
  quotas_.refresh(use);
}

int PartitionChooser::choose(const model::Job& job, uint32_t shard, std::optional<int> failed) {
  const Demand demand = demand_of(job, shard);
  const auto& pools = capacity_.pools();
  std::vector<quota::PartitionFit> fits(pools.size());
  std::vector<double> scores;
  for (size_t i = 0; i < pools.size(); ++i) {
    const int partition = static_cast<int>(i);
    scores.push_back(
        score(partition, demand, room_in(pools[i], demand), failed == partition, fits[i]));
  }
  const auto best = std::max_element(scores.begin(), scores.end()) - scores.begin();
  const double within_share = fits[static_cast<size_t>(best)].within_share;
  const int partition = static_cast<int>(best);
  if (within_share < demand.tasks) quotas_.note_shortage(job.spec, demand.tasks, fits);
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
  if (!depends_on_zones(job.spec)) return demand;
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

PartitionChooser::Room PartitionChooser::room_in(const std::vector<MachinePool>& pools,
                                                 const Demand& demand) const {
  const model::JobSpec& spec = *demand.spec;
  Room room;
  std::map<std::string, double> tasks_by_zone;
  for (const MachinePool& pool : pools) {
    if (!demand.filter.allows(pool)) continue;
    tasks_by_zone[pool.zone] += tasks_in_pool(spec, pool, demand.tasks, pool.free.cpus);
    room.preemptible_cpus += pool.cpus_below(spec.priority);
    auto with_image = pool.free_cpus_by_image.find(spec.image);
    if (with_image == pool.free_cpus_by_image.end()) continue;
    const double cpus = std::min(with_image->second, pool.free.cpus);
    room.with_image += tasks_in_pool(spec, pool, demand.tasks, cpus);
  }
  for (const auto& [zone, tasks] : tasks_by_zone) {
    if (spec.one_zone) {
      room.tasks = std::max(room.tasks, tasks);
    } else if (spec.spread) {
      auto placed = demand.placed_by_zone.find(zone);
      const uint32_t there = placed == demand.placed_by_zone.end() ? 0 : placed->second;
      const uint32_t allowed = spec.max_tasks_in_zone() - std::min(there, spec.max_tasks_in_zone());
      room.tasks += std::min(tasks, static_cast<double>(allowed));
    } else {
      room.tasks += tasks;
    }
  }
  return room;
}

// Also says how many tasks the partition has room for, and how many of them its quota share takes.
double PartitionChooser::score(int partition, const Demand& demand, Room room, bool failed_before,
                               quota::PartitionFit& fit) {
  const model::JobSpec& spec = *demand.spec;
  const double wanted = demand.tasks;
  double score = 0;
  auto related = demand.placed_by_partition.find(partition);
  if (related != demand.placed_by_partition.end()) score = related->second;
  // A gang needs room for all of its tasks at once: of partitions with less, the one that comes
  // nearest is the best.
  if (spec.shape == model::Shape::kGang && room.tasks < spec.tasks) {
    score += room.tasks;
    room.tasks = room.with_image = 0;
  }
  fit.room = room.tasks;
  // A partition without a share for this team cannot take the job, whatever its room.
  if (quota::quota_share(context_.settings, replica_, spec.team, partition).cpus <
      spec.request.cpus)
    return kCannotTakeScore;
  const double quota_left = quotas_.tasks_left(spec, partition);
  fit.within_share = std::min(room.tasks, quota_left);
  const double tasks = fit.within_share;
  const double with_image = std::min(room.with_image, quota_left);
  // Where there is no room, work goes to where preemption can make it.
  const double unplaced = std::max(0.0, std::min(wanted, quota_left) - tasks);
  if (spec.request.cpus > 0)
    score += kPreemptionWeight *
             std::min(unplaced, std::floor(room.preemptible_cpus / spec.request.cpus));
  score += kRoomWeight * std::min(tasks, wanted) + kImageWeight * std::min(with_image, wanted) +
           kSpareRoomWeight * std::min(tasks, kMaxSpareRoom);
  // Sums over machines overstate the room for a whole gang: where it found none, another partition
  // that seems to have room is tried.
  if (failed_before) score /= kFailedBeforeDivisor;
  return score + tie_breaker(static_cast<size_t>(partition), demand);
}

// Spreads jobs evenly over partitions that are equally good.
double PartitionChooser::tie_breaker(size_t partition, const Demand& demand) const {
  const size_t rank = std::hash<std::string>{}(demand.spec->id) + demand.shard + partition;
  return kTieBreakerWeight * static_cast<double>(rank % replica_.leases.size());
}

}  // namespace rooksill::leader
