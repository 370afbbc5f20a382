// Chooses the partition that a shard of a job is routed to.
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

// Owns the leader's view of free capacity and of what is left of each team's quota. A choice takes
// three steps: how many of the shard's tasks each partition could take, a score for each, and the
// deduction of what the best one will use. Where a quota's division keeps work from room that there
// is, that is noted for a transfer of quota.
class PartitionChooser {
 public:
  PartitionChooser(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica), capacity_(replica), quotas_(context, replica) {}

  // Starts again from what owners report.
  void refresh(const wire::MachineStatusMap& statuses, const std::vector<wire::QuotaUse>& use);

  // `failed`: the partition where a gang found no room.
  int choose(const model::Job& job, uint32_t shard, std::optional<int> failed_partition);

  // Transfers of quota to ask for now; `can_give` says by partition whose owner can be asked.
  std::vector<wire::QuotaTransfer> decide_transfers(const std::vector<bool>& is_owner_reachable) {
    return quotas_.decide_transfers(is_owner_reachable);
  }

 private:
  // What is to be placed, and what binds it.
  struct Demand {
    const model::JobSpec* spec = nullptr;
    uint32_t shard = 0;
    double tasks = 0;  // that are on no machine
    MachineFilter filter;
    // Of the job's placed tasks, if it is bound to one zone or spread over zones.
    std::map<std::string, uint32_t> placed_by_zone;
    std::map<int, double> placed_by_partition;
  };
  // What a partition could take of it, in tasks.
  struct PartitionCapacity {
    double tasks = 0;
    double with_image = 0;        // on machines that have the image
    double preemptible_cpus = 0;  // in use by work of a lower priority
  };

  Demand demand_of(const model::Job& job, uint32_t shard) const;
  PartitionCapacity capacity_in(const std::vector<MachinePool>& pools, const Demand& demand) const;
  double score(int partition, const Demand& demand, PartitionCapacity capacity, bool has_failed_before,
               quota::PartitionFit& fit);
  double tie_breaker(size_t partition, const Demand& demand) const;

  runtime::Context& context_;
  const store::Replica& replica_;
  CapacityView capacity_;
  quota::QuotaBalancer quotas_;
};

}  // namespace rooksill::leader
