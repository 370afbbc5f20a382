// Routes shards of jobs to the partitions that place them, and tells the partitions' owners.
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

// Owns the routes of this term: shard -> partition. A shard stays with a partition for a while;
// what has found no room there by then is routed anew. Owners are sent new routes at once and all
// routes from time to time, so that what was lost on the way is made good. The same messages carry
// the fleet's wishes: machines to drain, tasks to move, transfers of quota. Used only while this
// process leads. Times are seconds of the steady clock.
class Router {
 public:
  Router(runtime::Context& context, const store::Replica& replica, membership::Peers& peers,
         partition::PartitionOwner& owner, fleet::Fleet& fleet);

  void start_term(uint64_t term);
  // Takes up what owners report of room and quota use, every so often.
  void refresh(const wire::MachineStatusMap& statuses);
  // Routes the jobs that the last batch of changes touched.
  void route_changed_jobs();
  // Looks again at some of the jobs that found no room, in turn.
  void retry_pending_jobs();

 private:
  struct Route {
    int partition = 0;
    double assigned_at = 0;
  };
  // How the shards of one job are routed.
  struct JobRouting {
    const model::Job* job = nullptr;
    bool uses_fallback = false;  // by some owner
    double retry_interval_s = 0;        // that a shard stays with a partition
    // Where all of the job's shards go, once the first of them has been routed, if its tasks depend
    // on each other's places: one partition at a time decides for such a job.
    std::optional<int> common_partition;
  };
  using Messages = std::map<std::string, wire::RoutingUpdate>;  // by controller

  void route(const std::set<std::string>& jobs);
  void route_shard(JobRouting& routing, uint32_t index);
  int choose_partition(const JobRouting& routing, uint32_t index, const Route* current);
  bool is_unreachable_for_some_owner() const;
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
  std::map<int, std::vector<wire::ShardRoute>> unsent_routes_;  // not sent yet, by partition
  std::set<std::string> changed_jobs_;                         // not routed yet
  std::string last_retried_job_;                                 // the last job of the turn before
  double next_refresh_at_ = 0;
  double next_full_send_at_ = 0;
};

}  // namespace rooksill::leader
