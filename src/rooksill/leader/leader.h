// Leadership: the election over a state lease, the leasing of partitions, the routing of jobs.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/fleet/fleet.h"
#include "rooksill/membership/peers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/quota/quota_balancer.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::leader {

class Leader {
 public:
  Leader(runtime::Context& ctx, store::Replica& replica, store::Client& client,
         store::Committer& committer, membership::Peers& peers, partition::PartitionOwner& owner,
         fleet::Fleet& fleet);

  void tick(const wire::MachineStatusMap& statuses);
  void route_now();  // what the batch brought
  bool leading() const;
  // Nobody has been heard leading for a while: owners go on by themselves.
  bool absent() const;
  uint64_t term() const { return leading() ? term_ : 0; }

 private:
  void elect();
  void stand();
  void renew();
  void resign(const std::string& why);
  void assign_partitions();
  void lease(int partition, const std::string& label, uint64_t incarnation, const std::string& why);
  bool may_own(const std::string& label);
  uint64_t incarnation_of(const std::string& label) const;
  std::set<int> suspect_partitions();
  fleet::UnreachableZones unreachable_zones() const;
  std::vector<fleet::Waiting> waiting();
  void finish_jobs();
  // Free room of one kind of machine in a partition, by zone. Summed up from what owners say, and
  // lessened by what has been routed there since.
  struct Pool {
    const model::MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    double cpus = 0, memory = 0, gpus = 0;
    std::array<double, 4> cpus_by_priority{};        // of tasks there
    std::unordered_map<std::string, double> cached;  // cores where an image is
  };
  void sum_up(const wire::MachineStatusMap& statuses);
  void refresh_quotas();
  void route(const std::set<std::string>& jobs);
  void send_routes();
  // `tried`: the partition where a gang found no room; -1: none yet.
  int choose_partition(const model::Job& job, uint32_t shard, int tried);

  runtime::Context& ctx_;
  store::Replica& replica_;
  store::Client& client_;
  store::Committer& committer_;
  membership::Peers& peers_;
  partition::PartitionOwner& owner_;
  fleet::Fleet& fleet_;
  quota::QuotaBalancer limits_;

  bool leading_ = false, electing_ = false, renewing_ = false, heard_peer_ = false;
  uint64_t term_ = 0, lease_ = 0;
  double valid_until_ = 0, next_renewal_ = 0, next_try_ = 0, vacant_since_ = 0;
  double next_full_routes_ = 0, next_sum_ = 0, term_started_ = 0, started_ = 0;
  std::set<int> leasing_;
  std::map<std::string, std::string> unfit_;  // controller -> why it holds no partitions
  std::map<int, double>
      gave_up_;  // partition -> when it was last taken from a owner that saw silence
  struct Routed {
    int partition = 0;
    double since = 0;
  };
  std::map<model::ShardId, Routed> routes_;
  std::map<model::ShardId, double> waiting_since_;
  std::set<std::string> finishing_;
  std::vector<std::vector<Pool>> pools_;  // by partition
  std::map<int, std::vector<wire::ShardRoute>> fresh_routes_;
  std::set<std::string> unrouted_;  // jobs touched since the last routing
  std::string last_routed_;
};

}  // namespace rooksill::leader
