// Leadership: the election over a state lease, the leasing of blocks, the routing of jobs.
#pragma once

#include <array>
#include <unordered_map>

#include "rooksill/cloud/fleet.h"
#include "rooksill/core/context.h"
#include "rooksill/core/holder.h"
#include "rooksill/core/limit_balancer.h"
#include "rooksill/core/peers.h"
#include "rooksill/core/replica.h"
#include "rooksill/state/committer.h"

namespace rooksill::core {

class Leader {
 public:
  Leader(Context& ctx, Replica& replica, state::Client& client, state::Committer& committer,
         Peers& peers, Holder& holder, cloud::Fleet& fleet);

  void tick(const net::ViewMap& views);
  void route_now();  // what the batch brought
  bool leading() const;
  // Nobody has been heard leading for a while: holders go on by themselves.
  bool absent() const;
  uint64_t term() const { return leading() ? term_ : 0; }

 private:
  void elect();
  void stand();
  void renew();
  void resign(const std::string& why);
  void lease_blocks();
  void lease(int block, const std::string& label, uint64_t incarnation, const std::string& why);
  bool fit_to_hold(const std::string& label);
  uint64_t incarnation_of(const std::string& label) const;
  std::set<int> suspect_blocks();
  cloud::UnreachableZones unreachable_zones() const;
  std::vector<cloud::Waiting> waiting();
  void finish_jobs();
  // Free room of one kind of machine in a block, by zone. Summed up from what holders say, and
  // lessened by what has been routed there since.
  struct Pool {
    const MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    double cpus = 0, memory = 0, gpus = 0;
    std::array<double, 4> cpus_by_priority{};        // of tasks there
    std::unordered_map<std::string, double> cached;  // cores where an image is
  };
  void sum_up(const net::ViewMap& views);
  void refresh_limits();
  void route(const std::set<std::string>& jobs);
  void send_routes();
  // `tried`: the block where a gang found no room; -1: none yet.
  int choose_block(const Job& job, uint32_t chunk, int tried);

  Context& ctx_;
  Replica& replica_;
  state::Client& client_;
  state::Committer& committer_;
  Peers& peers_;
  Holder& holder_;
  cloud::Fleet& fleet_;
  LimitBalancer limits_;

  bool leading_ = false, electing_ = false, renewing_ = false, heard_peer_ = false;
  uint64_t term_ = 0, lease_ = 0;
  double valid_until_ = 0, next_renewal_ = 0, next_try_ = 0, vacant_since_ = 0;
  double next_full_routes_ = 0, next_sum_ = 0, term_started_ = 0, started_ = 0;
  std::set<int> leasing_;
  std::map<std::string, std::string> unfit_;  // controller -> why it holds no blocks
  std::map<int, double> gave_up_;  // block -> when it was last taken from a holder that saw silence
  struct Routed {
    int block = 0;
    double since = 0;
  };
  std::map<ChunkId, Routed> routes_;
  std::map<ChunkId, double> waiting_since_;
  std::set<std::string> finishing_;
  std::vector<std::vector<Pool>> pools_;  // by block
  std::map<int, std::vector<net::Route>> fresh_routes_;
  std::set<std::string> unrouted_;  // jobs touched since the last routing
  std::string last_routed_;
};

}  // namespace rooksill::core
