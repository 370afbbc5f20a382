// The leader's dealings with the cloud: sizing once a period, on-demand rentals, releases.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "rooksill/cloud/codec.h"
#include "rooksill/cloud/silent_machines.h"
#include "rooksill/core/context.h"
#include "rooksill/core/replica.h"
#include "rooksill/net/peer_codec.h"
#include "rooksill/policy/demand.h"
#include "rooksill/state/committer.h"

namespace rooksill::cloud {

struct Pool {
  std::string type;
  bool spot = false;
  auto operator<=>(const Pool&) const = default;
};

struct Offer {
  Pool pool;
  std::string zone;
  auto operator<=>(const Offer&) const = default;
};

// Tasks of one job that wait without room.
struct Waiting {
  const core::Job* job = nullptr;
  uint32_t count = 0;
};

class Fleet {
 public:
  Fleet(core::Context& ctx, core::Replica& replica, state::Committer& committer);

  // Every controller measures; a new leader has its figures ready.
  void measure(const std::vector<core::TaskEvent>& events);
  void observe();
  void start_term(uint64_t term);
  void stop();
  // While leading.
  bool wants_waiting() const { return active_ && ctx_.now.steady >= next_on_demand_; }
  void tick(const net::ViewMap& views, const std::vector<Waiting>& waiting,
            const std::set<int>& suspect_blocks, const UnreachableZones& unreachable);
  void sighted(const net::Sighting& s);
  const std::set<std::string>& draining() const { return drain_; }
  std::vector<net::Move> take_moves() { return std::exchange(moves_, {}); }
  std::map<std::string, std::string> take_addresses() { return std::exchange(addresses_, {}); }

 private:
  struct Hire {
    Offer offer;
    int count = 0;
    int block = -1;  // where the machines go; -1: wherever fewest are
    std::string reason;
    bool busy = false;
    double next = 0, asked = 0;
    int tries = 0;
  };
  bool cloud_call(const std::string& method, const std::string& path, const std::string& body,
                  double timeout_s, core::CallHandler handler);
  void fetch_catalog();
  void fetch_list();
  void on_list();
  void send_hires();
  void rent(const Offer& offer, int count, const std::string& reason, int block = -1);
  void deal(const std::vector<std::string>& names, const Offer& offer, int block = -1);
  using PageId = std::pair<int, int>;  // block and page
  void write_machines();
  std::map<std::string, core::Machine> planned_page(const PageId& at);
  void write_page(const PageId& at);
  void judge(const net::ViewMap& views, const std::set<int>& suspect_blocks);
  void release(const std::string& name, const std::string& reason);
  void send_releases();
  // Whether a machine is on its way out, so that it counts no more.
  bool leaving(const std::string& name) const {
    return releasing_.count(name) != 0 || to_drop_.count(name) != 0;
  }
  void run_policy(const net::ViewMap& views);
  void size_pool(const Pool& pool, const core::MachineType& type,
                 const std::vector<const core::Machine*>& machines, const net::ViewMap& views,
                 double miss);
  // Room for replicas on ordinary machines by zone, and all together under "".
  struct Zone {
    double room = 0;   // cores that no replica uses, on machines up or about to be
    double floor = 0;  // what is kept of it
  };
  void sum_zones(const net::ViewMap& views);
  bool zone_can_spare(const core::Machine& m) const;
  void keep_zone_floors();
  bool can_move(const core::Job& job, const core::Machine& from, const net::ViewMap& views) const;
  void plan_moves(const net::ViewMap& views);
  // Room for a task on a machine that is there, on its way or asked for.
  struct Space {
    const core::MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    double cpus = 0, gpus = 0, memory = 0;
    int block = 0;
  };
  std::vector<Space> spaces(const net::ViewMap& views) const;
  // Where a gang's tasks find room together: in one block and, if its job asks for that, one zone.
  struct GangHome {
    int block = -1;
    std::string zone;  // empty: any
  };
  GangHome gang_home(const core::JobSpec& spec, const std::vector<Space>& rooms,
                     int only_block) const;
  void rent_for_waiting(const net::ViewMap& views, const std::vector<Waiting>& waiting);
  bool open(const Offer& offer) const;
  void refused(const Offer& offer);
  int held(const Offer& offer) const;
  int most(const Offer& offer) const;
  std::map<Pool, std::vector<const core::Machine*>> pools() const;
  double share(const core::JobSpec& spec, const core::MachineType& type) const;
  void count_blocks(const Offer& offer, std::vector<std::pair<int, int>>& load) const;
  int page_with_room(int block) const;

  core::Context& ctx_;
  core::Replica& replica_;
  state::Committer& committer_;
  state::RateLimit limit_;
  SilentMachines silent_machines_;
  uint64_t term_ = 0, next_hire_ = 1;
  bool active_ = false;
  std::map<Pool, policy::Demand> demand_;
  std::map<std::string, Hire> hires_;
  std::map<Offer, double> refused_until_, last_rental_;
  struct Cap {
    int held = 0;  // how many there were when the cloud gave no more
    double until = 0;
    int refusals = 0;
  };
  std::map<Offer, Cap> caps_;
  std::map<std::string, core::Machine> to_deal_;  // rented or adopted, not yet in a block's key
  std::set<std::string> to_drop_;                 // released, still in a block's key
  std::map<std::string, std::string> releasing_;  // name -> reason
  std::set<std::string> release_sent_;
  std::map<std::string, double> gone_;  // released: a lagging list may still show them
  std::set<std::string> drain_;
  std::vector<net::Move> moves_;
  std::map<std::string, std::string> addresses_;
  std::vector<ListedMachine> listing_;
  std::map<std::string, double> unexpected_;
  std::string list_after_;  // how far the list has been read
  std::set<PageId> writing_;
  std::map<std::string, Zone> zones_;
  std::string last_moved_;
  bool listing_busy_ = false, catalog_busy_ = false, list_seen_ = false;
  double next_list_ = 0, next_catalog_ = 0, next_period_ = 0, last_tick_ = 0, next_measure_ = 0;
  double next_on_demand_ = 0, next_move_ = 0;
};

}  // namespace rooksill::cloud
