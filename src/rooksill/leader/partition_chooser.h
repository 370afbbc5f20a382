// Choice of the partition to which a shard of a job is routed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rooksill/leader/capacity_view.h"
#include "rooksill/model/job.h"
#include "rooksill/quota/quota_balancer.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::leader {

// Scores partitions by the leader's estimates of free capacity and of each team's remaining quota
// shares. A choice has three steps: compute how many of the shard's tasks each partition could run,
// score each partition, and deduct the capacity and quota that the tasks will use in the best one.
// If a team's quota shares prevent the use of free capacity, the shortage is recorded for a quota
// transfer.
class PartitionChooser {
 public:
  PartitionChooser(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica), capacity_(replica), quotas_(context, replica) {}

  // Discards all deductions and starts again from the machine statuses and quota use that partition
  // owners report.
  void refresh(const wire::MachineStatusMap& statuses, const std::vector<wire::QuotaUse>& use);

  // Returns the partition for the unplaced tasks of a shard, and deducts what they will use there.
  // `failed_partition`: the partition in which a gang last found no capacity.
  int choose(const model::Job& job, uint32_t shard, std::optional<int> failed_partition);

  // Returns the quota transfers to request now. `is_owner_reachable`: by partition, whether its
  // owner can be asked for a transfer.
  std::vector<wire::QuotaTransfer> decide_transfers(const std::vector<bool>& is_owner_reachable) {
    return quotas_.decide_transfers(is_owner_reachable);
  }

 private:
  // The tasks of a shard to be placed, and their constraints.
  struct Demand {
    const model::JobSpec* spec = nullptr;
    uint32_t shard = 0;
    double tasks = 0;  // unplaced tasks
    MachineFilter filter;
    // The job's placed tasks; empty unless the job is bound to one zone or spread over zones.
    std::map<std::string, uint32_t> placed_by_zone;
    std::map<int, double> placed_by_partition;  // weighted for the score
  };
  // How much of a demand a partition could run.
  struct PartitionCapacity {
    double tasks = 0;             // on free capacity
    double with_image = 0;        // tasks on machines that have the image
    double preemptible_cpus = 0;  // used by tasks of a lower priority
  };

  Demand demand_of(const model::Job& job, uint32_t shard) const;
  PartitionCapacity capacity_in(const std::vector<MachinePool>& pools, const Demand& demand) const;
  double score(int partition, const Demand& demand, PartitionCapacity capacity,
               bool has_failed_before, quota::PartitionFit& fit);
  double tie_breaker(size_t partition, const Demand& demand) const;

  runtime::Context& context_;
  const store::Replica& replica_;
  CapacityView capacity_;  // less what was routed since the last refresh
  quota::QuotaBalancer quotas_;
};

}  // namespace rooksill::leader
