// The leader's dealings with the cloud: sizing once a period, on-demand rentals, releases.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/fleet/silent_machines.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/policy/demand.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/cloud_codec.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

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
  const model::Job* job = nullptr;
  uint32_t count = 0;
};

class Fleet {
 public:
  Fleet(runtime::Context& ctx, store::Replica& replica, store::Committer& committer);

  // Every controller measures; a new leader has its figures ready.
  void measure(const std::vector<store::TaskEvent>& events);
  void observe();
  void start_term(uint64_t term);
  void stop();
  // While leading.
  bool wants_waiting() const { return active_ && ctx_.now.steady >= next_on_demand_; }
  void tick(const wire::MachineStatusMap& statuses, const std::vector<Waiting>& waiting,
            const std::set<int>& suspect_partitions, const UnreachableZones& unreachable);
  void on_unassigned_machine(const wire::UnassignedMachine& s);
  const std::set<std::string>& draining() const { return drain_; }
  std::vector<wire::TaskMove> take_moves() { return std::exchange(moves_, {}); }
  std::map<std::string, std::string> take_addresses() { return std::exchange(addresses_, {}); }

 private:
  struct RentalRequest {
    Offer offer;
    int count = 0;
    int partition = -1;  // where the machines go; -1: wherever fewest are
    std::string reason;
    bool busy = false;
    double next = 0, asked = 0;
    int tries = 0;
  };
  bool cloud_call(const std::string& method, const std::string& path, const std::string& body,
                  double timeout_s, runtime::CallHandler handler);
  void fetch_catalog();
  void fetch_list();
  void on_list();
  void send_rentals();
  void rent(const Offer& offer, int count, const std::string& reason, int partition = -1);
  void assign_to_partition(const std::vector<std::string>& names, const Offer& offer,
                           int partition = -1);
  using PageId = std::pair<int, int>;  // partition and page
  void write_machines();
  std::map<std::string, model::Machine> planned_page(const PageId& at);
  void write_page(const PageId& at);
  void judge(const wire::MachineStatusMap& statuses, const std::set<int>& suspect_partitions);
  void release(const std::string& name, const std::string& reason);
  void send_releases();
  // Whether a machine is on its way out, so that it counts no more.
  bool leaving(const std::string& name) const {
    return releasing_.count(name) != 0 || to_drop_.count(name) != 0;
  }
  void run_policy(const wire::MachineStatusMap& statuses);
  void size_pool(const Pool& pool, const model::MachineType& type,
                 const std::vector<const model::Machine*>& machines,
                 const wire::MachineStatusMap& statuses, double miss);
  // Room for replicas on ordinary machines by zone, and all together under "".
  struct Zone {
    double room = 0;   // cores that no replica uses, on machines up or about to be
    double floor = 0;  // what is kept of it
  };
  void sum_zones(const wire::MachineStatusMap& statuses);
  bool zone_can_spare(const model::Machine& m) const;
  void keep_zone_floors();
  bool can_move(const model::Job& job, const model::Machine& from,
                const wire::MachineStatusMap& statuses) const;
  void plan_moves(const wire::MachineStatusMap& statuses);
  // Room for a task on a machine that is there, on its way or asked for.
  struct Space {
    const model::MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    double cpus = 0, gpus = 0, memory = 0;
    int partition = 0;
  };
  std::vector<Space> spaces(const wire::MachineStatusMap& statuses) const;
  // Where a gang's tasks find room together: in one partition and, if its job asks for that, one
  // zone.
  struct GangTarget {
    int partition = -1;
    std::string zone;  // empty: any
  };
  GangTarget choose_gang_target(const model::JobSpec& spec, const std::vector<Space>& rooms,
                                int only_partition) const;
  void rent_for_waiting(const wire::MachineStatusMap& statuses,
                        const std::vector<Waiting>& waiting);
  bool open(const Offer& offer) const;
  void refused(const Offer& offer);
  int held(const Offer& offer) const;
  int most(const Offer& offer) const;
  std::map<Pool, std::vector<const model::Machine*>> pools() const;
  double share(const model::JobSpec& spec, const model::MachineType& type) const;
  void count_by_partition(const Offer& offer, std::vector<std::pair<int, int>>& load) const;
  int page_with_room(int partition) const;

  runtime::Context& ctx_;
  store::Replica& replica_;
  store::Committer& committer_;
  store::RateLimit limit_;
  SilentMachines silent_machines_;
  uint64_t term_ = 0, next_rental_ = 1;
  bool active_ = false;
  std::map<Pool, policy::Demand> demand_;
  std::map<std::string, RentalRequest> rentals_;
  std::map<Offer, double> refused_until_, last_rental_;
  struct Cap {
    int held = 0;  // how many there were when the cloud gave no more
    double until = 0;
    int refusals = 0;
  };
  std::map<Offer, Cap> caps_;
  std::map<std::string, model::Machine>
      unassigned_;                                // rented or adopted, not yet in a partition's key
  std::set<std::string> to_drop_;                 // released, still in a partition's key
  std::map<std::string, std::string> releasing_;  // name -> reason
  std::set<std::string> release_sent_;
  std::map<std::string, double> gone_;  // released: a lagging list may still show them
  std::set<std::string> drain_;
  std::vector<wire::TaskMove> moves_;
  std::map<std::string, std::string> addresses_;
  std::vector<wire::ListedMachine> listing_;
  std::map<std::string, double> unexpected_;
  std::string list_after_;  // how far the list has been read
  std::set<PageId> writing_;
  std::map<std::string, Zone> zones_;
  std::string last_moved_;
  bool listing_busy_ = false, catalog_busy_ = false, list_seen_ = false;
  double next_list_ = 0, next_catalog_ = 0, next_period_ = 0, last_tick_ = 0, next_measure_ = 0;
  double next_on_demand_ = 0, next_move_ = 0;
};

}  // namespace rooksill::fleet
