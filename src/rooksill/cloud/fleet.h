// The leader's dealings with the cloud: sizing once a period, on-demand rentals, releases.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "rooksill/cloud/codec.h"
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
  void observe(const std::map<std::string, net::MachineView>& views);
  void start_term(uint64_t term);
  void stop();
  // While leading.
  void tick(const std::map<std::string, net::MachineView>& views,
            const std::vector<Waiting>& waiting, const std::set<int>& suspect_blocks);
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
  void fetch_list(const std::string& after);
  void on_list();
  void send_hires();
  void rent(const Offer& offer, int count, const std::string& reason, int block = -1);
  void deal(const std::string& name, const Offer& offer, int block = -1);
  void write_machines();
  bool may_release_silent(const std::string& name);
  void judge(const std::map<std::string, net::MachineView>& views,
             const std::set<int>& suspect_blocks);
  void release(const std::string& name, const std::string& reason);
  void send_releases();
  void run_policy(const std::map<std::string, net::MachineView>& views);
  double zone_room(const std::string& zone, const std::string& without,
                   const std::map<std::string, net::MachineView>& views) const;
  double replica_cpus(const std::string& machine) const;
  double zone_floor(const std::string& zone) const;
  bool zone_can_spare(const std::string& name,
                      const std::map<std::string, net::MachineView>& views) const;
  void keep_zone_floors(const std::map<std::string, net::MachineView>& views);
  bool can_move(const core::Job& job, const core::Machine& from,
                const std::map<std::string, net::MachineView>& views) const;
  void plan_moves(const std::map<std::string, net::MachineView>& views);
  void rent_for_waiting(const std::map<std::string, net::MachineView>& views,
                        const std::vector<Waiting>& waiting);
  bool open(const Offer& offer) const;
  void refused(const Offer& offer);
  int held(const Offer& offer) const;
  int most(const Offer& offer) const;
  std::map<Pool, std::vector<const core::Machine*>> pools() const;
  double share(const core::JobSpec& spec, const core::MachineType& type) const;
  int booting_hires(const Offer& offer) const;
  int best_block(const Offer& offer) const;

  core::Context& ctx_;
  core::Replica& replica_;
  state::Committer& committer_;
  state::RateLimit limit_;
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
  std::map<std::string, int> unexpected_;
  std::set<int> writing_;
  bool listing_busy_ = false, catalog_busy_ = false, list_seen_ = false;
  double next_list_ = 0, next_catalog_ = 0, next_period_ = 0, last_tick_ = 0, next_measure_ = 0;
  double next_on_demand_ = 0, next_move_ = 0, next_silent_release_ = 0;
  std::map<std::string, double> silent_since_;
};

}  // namespace rooksill::cloud
