// Routing of job shards to the partitions that place their tasks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rooksill/fleet/fleet.h"
#include "rooksill/leader/partition_chooser.h"
#include "rooksill/membership/peers.h"
#include "rooksill/model/job.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::leader {

// Keeps the routes of this term, from shard to partition. A shard stays with a partition for a
// retry interval; if it still has unplaced tasks then, a partition is chosen again. Partition
// owners receive new routes immediately and all routes periodically, which makes up for lost
// messages. The same messages carry the machines to drain, the tasks to move and the quota
// transfers. Used only while this process leads. Times are seconds of the steady clock.
class Router {
 public:
  Router(runtime::Context& context, const store::Replica& replica, membership::Peers& peers,
         partition::PartitionOwner& owner, fleet::Fleet& fleet);

  // Resets the state at the start of a term.
  void start_term(uint64_t term);
  // Updates the estimates of capacity and quota use from the owners' reports, if that is due.
  void refresh(const wire::MachineStatusMap& statuses);
  // Routes the pending jobs affected by the last batch of store changes, and sends the new routes.
  void route_changed_jobs();
  // Routes the next batch of pending jobs, cycling through all of them, and sends the routes.
  void retry_pending_jobs();

 private:
  struct Route {
    int partition = 0;
    double assigned_at = 0;  // or when the partition was last confirmed
  };
  // How the shards of one job are routed.
  struct JobRouting {
    const model::Job* job = nullptr;
    bool uses_fallback = false;   // routed by the fallback rule
    double retry_interval_s = 0;  // how long a shard stays with a partition
    // The partition of all of the job's shards, set once the first of them is routed, if the
    // placements of its tasks depend on each other. Only one partition at a time places such a job.
    std::optional<int> common_partition;
  };
  using Messages = std::map<std::string, wire::RoutingUpdate>;  // by controller label

  void route(const std::set<std::string>& jobs);
  void route_shard(JobRouting& routing, uint32_t index);
  int choose_partition(const JobRouting& routing, uint32_t index, const Route* current);
  bool has_unreachable_owner() const;
  std::vector<wire::QuotaUse> reported_quota_use() const;
  bool is_owned_by(int partition, const std::string& label) const;

  void send_routes();
  std::vector<bool> reachable_partitions() const;
  Messages empty_messages(bool full) const;
  void add_all_routes(Messages& messages);
  void add_unsent_routes(Messages& messages) const;
  void remove_placed_shards();
  void send_messages(const Messages& messages, bool full);
  const std::string& owner_of(int partition) const;

  runtime::Context& context_;
  const store::Replica& replica_;
  membership::Peers& peers_;
  partition::PartitionOwner& owner_;
  fleet::Fleet& fleet_;
  PartitionChooser chooser_;

  uint64_t term_ = 0;
  std::map<model::ShardId, Route> routes_;
  std::map<int, std::vector<wire::ShardRoute>> unsent_routes_;  // by partition
  std::set<std::string> changed_jobs_;                          // not yet routed
  std::string last_retried_job_;  // the last job of the previous batch
  double next_refresh_at_ = 0;
  double next_full_send_at_ = 0;
};

}  // namespace rooksill::leader
