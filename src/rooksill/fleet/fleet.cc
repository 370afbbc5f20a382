#include "rooksill/fleet/fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/membership/upgrade.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/value_sizes.h"
#include "rooksill/policy/sizing.h"
#include "rooksill/quota/quota_shares.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::fleet {

namespace {
constexpr double kFailedBoot = 4.0;    // boot times after which it is returned
constexpr double kMinimumCharge = 60;  // the protocol: a machine that is deleted costs 60 s
constexpr double kMoveReports = 0.4;   // pause between two moves of replicas, in reports
constexpr double kFloorTasks = 2;      // replicas' worth of room that a zone keeps
constexpr double kFloorPart = 0.1;     // and of what its replicas use
constexpr double kFloorMachines = 1;   // and of what the fullest machine there has
constexpr int kTasksMoved = 3;         // tasks of arrays moved at a time, and
constexpr double kMovedPart = 0.02;    // for each machine there is
constexpr int kMoveLooks = 48;         // tasks looked at for a move at a time
constexpr size_t kReleaseBatch = 100;
constexpr int kMaxMachinesPerRental = 50;
constexpr double kRentReports = 0.3;  // between two on-demand rentals of one offer
constexpr int kRentalsAhead = 1;      // requests' worth of one offer that is waited for
constexpr int kMostRefusals = 4;      // after which patience with a refusing cloud grows no more
constexpr double kCallTimeout = 3;
}  // namespace

Fleet::Fleet(runtime::Context& ctx, store::Replica& replica, store::Committer& committer)
    : ctx_(ctx),
      replica_(replica),
      committer_(committer),
      limit_(ctx.settings.platform.cloud_rps),
      silent_machines_(ctx, replica) {}

double Fleet::share(const model::JobSpec& s, const model::MachineType& t) const {
  double out = 0;
  if (t.capacity.cpus > 0) out = std::max(out, s.request.cpus / t.capacity.cpus);
  if (t.capacity.memory_gb > 0) out = std::max(out, s.request.memory_gb / t.capacity.memory_gb);
  if (t.capacity.gpus > 0) out = std::max(out, s.request.gpus / t.capacity.gpus);
  return out;
}

void Fleet::measure(const std::vector<store::TaskEvent>& events) {
  for (const auto& e : events) {
    const model::Machine* m = replica_.machine(e.machine);
    const model::Job* j = replica_.job(e.job);
    if (m == nullptr || j == nullptr) continue;
    auto type = replica_.types.find(m->type);
    if (type == replica_.types.end()) continue;
    policy::Demand& d = demand_[{m->type, m->spot}];
    const double part = share(j->spec, type->second);
    if (e.kind == store::TaskEvent::Kind::kFirstPlaced)
      d.arrived(part);
    else
      d.finished(part);
  }
}

// How busy the machines were, by what the state says is on them: every controller knows that.
void Fleet::observe() {
  const double now = ctx_.now.steady;
  const auto& s = ctx_.settings;
  if (now - last_tick_ < s.platform.report_s / 4) return;
  const double passed = last_tick_ > 0 ? now - last_tick_ : 0;
  last_tick_ = now;
  std::map<Pool, double> busy;
  for (const auto& [name, m] : replica_.machines) {
    const auto& load = replica_.load(name);
    auto type = replica_.types.find(m.type);
    if (load.tasks.empty() || type == replica_.types.end()) continue;
    model::JobSpec all;
    all.request.cpus = load.used.cpus;
    all.request.gpus = load.used.gpus;
    all.request.memory_gb = load.used.memory_gb;
    busy[{m.type, m.spot}] += share(all, type->second);
  }
  for (const auto& [pool, machines] : busy) demand_[pool].busy(machines, passed);
  if (now < next_measure_) return;
  const double period = s.operators.period_reports * s.platform.report_s;
  if (next_measure_ > 0)
    for (auto& [pool, d] : demand_) d.end_period(period, s.operators.demand_cap);
  next_measure_ = now + period;
}

void Fleet::start_term(uint64_t term) {
  active_ = true;
  term_ = term;
  next_rental_ = 1;
  rentals_.clear();
  unassigned_.clear();
  to_drop_.clear();
  releasing_.clear();
  release_sent_.clear();
  drain_.clear();
  unexpected_.clear();
  writing_.clear();
  listing_busy_ = catalog_busy_ = list_seen_ = false;
  list_after_.clear();
  silent_machines_.start_term();
  next_list_ = next_catalog_ = 0;
  // What was measured while following is used from the first full period on.
  next_period_ = std::max(next_measure_, ctx_.now.steady + ctx_.settings.platform.report_s);
}

void Fleet::stop() { active_ = false; }

bool Fleet::cloud_call(const std::string& method, const std::string& path, const std::string& body,
                       double timeout_s, runtime::CallHandler handler) {
  if (!limit_.take(1)) return false;
  const auto term = term_;
  ctx_.call(runtime::Target::kCloud, ctx_.settings.platform.cloud_address, method, path, body,
            timeout_s, [this, term, handler = std::move(handler)](const runtime::CallDone& d) {
              if (active_ && term == term_) handler(d);
            });
  return true;
}

std::map<Pool, std::vector<const model::Machine*>> Fleet::pools() const {
  std::map<Pool, std::vector<const model::Machine*>> out;
  for (const auto& [name, m] : replica_.machines) out[{m.type, m.spot}].push_back(&m);
  return out;
}

// ---- catalogue and list --------------------------------------------------------------------

void Fleet::fetch_catalog() {
  if (catalog_busy_ || ctx_.now.steady < next_catalog_) return;
  catalog_busy_ =
      cloud_call("GET", "/catalog", "", kCallTimeout, [this](const runtime::CallDone& d) {
        catalog_busy_ = false;
        auto types = d.status == 200 ? wire::parse_catalog(d.body) : std::nullopt;
        const double report = ctx_.settings.platform.report_s;
        next_catalog_ = ctx_.now.steady + (types ? 20 * report : report / 3);
        if (!types) return;
        std::vector<store::Write> writes;
        for (const auto& t : *types) {
          if (t.name.empty() || t.name.find(' ') != std::string::npos || t.name.size() > 100)
            continue;
          auto value = wire::encode_type(t);
          auto known = replica_.types.find(t.name);
          if (known != replica_.types.end() && wire::encode_type(known->second) == value) continue;
          if (writes.size() < ctx_.settings.platform.state_txn_ops)
            writes.push_back({wire::type_key(t.name), std::move(value), 0});
        }
        if (writes.empty()) return;
        bool sent = committer_.commit({{wire::kLeaderKey, replica_.leader.revision}},
                                      std::move(writes), [this](const store::TransactionResult& r) {
                                        if (r.outcome != store::TransactionOutcome::kApplied)
                                          next_catalog_ = ctx_.now.steady + 0.3;
                                      });
        if (!sent) next_catalog_ = ctx_.now.steady + 0.3;
      });
}

// Page by page. A page that the limit or the cloud refuses is asked for again: a list begun anew
// each time would never come to its end where it takes more calls than a second allows.
void Fleet::fetch_list() {
  std::string path = "/hosts?most=500";
  if (!list_after_.empty()) path = "/hosts?from=" + list_after_ + "&most=500";
  if (list_after_.empty()) listing_.clear();
  const auto& p = ctx_.settings.platform;
  listing_busy_ = cloud_call("GET", path, "", kCallTimeout, [this](const runtime::CallDone& d) {
    listing_busy_ = false;
    const auto& settings = ctx_.settings.platform;
    auto page = d.status == 200 ? wire::parse_list(d.body) : std::nullopt;
    if (!page) {
      next_list_ = ctx_.now.steady + settings.report_s / 2;
      return;
    }
    listing_.insert(listing_.end(), page->machines.begin(), page->machines.end());
    if (page->more && !page->machines.empty()) {
      list_after_ = page->machines.back().name;
      return;
    }
    list_after_.clear();
    // Asked for more often than it changes, it would take the calls that rentals need.
    next_list_ = ctx_.now.steady + std::max(settings.report_s, settings.cloud_list_lag_s / 2);
    on_list();
  });
  if (!listing_busy_) next_list_ = ctx_.now.steady + 1 / p.cloud_rps;
}

void Fleet::on_list() {
  list_seen_ = true;
  const double lag = ctx_.settings.platform.cloud_list_lag_s;
  std::map<std::string, double> unexpected;  // since when it has been listed
  for (const auto& m : listing_) {
    if (!m.address.empty()) addresses_[m.name] = m.address;
    if (gone_.count(m.name) != 0 || unassigned_.count(m.name) != 0) continue;
    if (replica_.machine(m.name) != nullptr) {
      if (m.failed) release(m.name, "listed as failed");
      continue;
    }
    // Rented by a request whose answer was lost, or carried out late; or gone and still listed.
    // It is taken in once it has been listed for longer than a list can lag.
    auto known = unexpected_.find(m.name);
    const double since = known != unexpected_.end() ? known->second : ctx_.now.steady;
    unexpected[m.name] = since;
    if (ctx_.now.steady - since < 2 * lag) continue;
    if (m.failed) {
      release(m.name, "unexpected and failed");
    } else {
      ctx_.info("fleet", "machine {} was not expected: adopted", m.name);
      assign_to_partition({m.name}, {{m.type, m.spot}, m.zone});
    }
  }
  unexpected_ = std::move(unexpected);
}

void Fleet::on_unassigned_machine(const wire::UnassignedMachine& s) {
  if (!active_ || replica_.machine(s.machine) != nullptr || unassigned_.count(s.machine) != 0)
    return;
  if (gone_.count(s.machine) != 0) return;
  for (const auto& [name, h] : rentals_)
    if (h.busy && h.offer.pool == Pool{s.type, s.spot} && h.offer.zone == s.zone)
      return;  // likely ours: the answer names it
  ctx_.info("fleet", "machine {} reports and is in no block: adopted", s.machine);
  addresses_[s.machine] = s.address;
  assign_to_partition({s.machine}, {{s.type, s.spot}, s.zone});
}

// ---- rentals -------------------------------------------------------------------------------

bool Fleet::open(const Offer& offer) const {
  if (silent_machines_.cut_off(offer.zone)) return false;
  auto it = refused_until_.find(offer);
  return it == refused_until_.end() || it->second <= ctx_.now.steady;
}

int Fleet::held(const Offer& offer) const {
  int n = 0;
  auto count = [&](const model::Machine& m) {
    if (to_drop_.count(m.name) == 0 && m.type == offer.pool.type && m.spot == offer.pool.spot &&
        m.zone == offer.zone)
      ++n;
  };
  for (const auto& [name, m] : replica_.machines) count(m);
  for (const auto& [name, m] : unassigned_)
    if (replica_.machine(name) == nullptr) count(m);
  return n;
}

// What the cloud has is not published: a refusal shows it, and is believed for a while, longer each
// time. Otherwise every period would ask in vain, and the calls would be missing elsewhere.
void Fleet::refused(const Offer& offer) {
  const double report = ctx_.settings.platform.report_s;
  Cap& cap = caps_[offer];
  cap.held = held(offer);
  cap.refusals = std::min(cap.refusals + 1, kMostRefusals);
  cap.until = ctx_.now.steady + 5 * report * cap.refusals;
  refused_until_[offer] = ctx_.now.steady + 2 * report * cap.refusals;
}

int Fleet::most(const Offer& offer) const {
  auto it = caps_.find(offer);
  // Nothing was refused lately: as many more as one request can ask for.
  if (it == caps_.end() || it->second.until <= ctx_.now.steady)
    return held(offer) + kMaxMachinesPerRental;
  return it->second.held;
}

void Fleet::rent(const Offer& offer, int count, const std::string& reason, int partition) {
  if (count <= 0) return;
  last_rental_[offer] = ctx_.now.steady;
  RentalRequest h;
  h.offer = offer;
  h.count = std::min(count, kMaxMachinesPerRental);
  h.reason = reason;
  h.partition = partition;
  h.asked = ctx_.now.wall;
  const std::string name = "rk-" + std::to_string(term_) + "-" + std::to_string(next_rental_++);
  ctx_.info("fleet", "rent {} {} {} in {} ({}) as {}", h.count,
            offer.pool.spot ? "spot" : "ordinary", offer.pool.type, offer.zone, reason, name);
  rentals_.emplace(name, std::move(h));
}

void Fleet::send_rentals() {
  for (auto& [name, h] : rentals_) {
    if (h.busy || ctx_.now.steady < h.next) continue;
    const bool sent = cloud_call(
        "POST", "/hosts",
        wire::encode_rental(name, h.offer.pool.type, h.offer.zone, h.offer.pool.spot, h.count),
        kCallTimeout, [this, key = name](const runtime::CallDone& d) {
          auto it = rentals_.find(key);
          if (it == rentals_.end()) return;
          RentalRequest& x = it->second;
          x.busy = false;
          const double report = ctx_.settings.platform.report_s;
          if (d.status == 200) {
            if (auto names = wire::parse_rented(d.body)) {
              assign_to_partition(*names, x.offer, x.partition);
              if (!names->empty()) caps_.erase(x.offer);
              if (static_cast<int>(names->size()) < x.count) refused(x.offer);
              rentals_.erase(it);
              return;
            }
          }
          const bool no_capacity =
              d.status == 503 && d.body.find("no capacity") != std::string::npos;
          if (no_capacity || d.status == 400) {
            ctx_.info("fleet", "no capacity: {} {} in {}", x.offer.pool.spot ? "spot" : "ordinary",
                      x.offer.pool.type, x.offer.zone);
            refused(x.offer);
            rentals_.erase(it);
            return;
          }
          // Refused or unknown: the same name asks for the same machines, so it is asked again.
          x.next = ctx_.now.steady + report / 3;
          if (++x.tries > 20) rentals_.erase(it);  // late machines will be adopted
        });
    if (!sent) return;
    h.busy = true;
  }
}

// How many machines each partition has: of this kind in this zone, and of all.
void Fleet::count_by_partition(const Offer& offer, std::vector<std::pair<int, int>>& load) const {
  load.assign(replica_.leases.size(), {});
  auto count = [&](const model::Machine& m) {
    auto& l = load[static_cast<size_t>(m.partition)];
    if (m.type == offer.pool.type && m.spot == offer.pool.spot && m.zone == offer.zone) ++l.first;
    ++l.second;
  };
  for (const auto& [n, m] : replica_.machines) count(m);
  for (const auto& [n, m] : unassigned_)
    if (replica_.machine(n) == nullptr) count(m);
}

// The first page of a partition's list that takes another machine.
int Fleet::page_with_room(int partition) const {
  const auto& pages = replica_.pages[static_cast<size_t>(partition)];
  std::vector<size_t> used(pages.size());
  for (size_t p = 0; p < pages.size(); ++p) used[p] = pages[p].names.size();
  for (const auto& [n, m] : unassigned_) {
    if (m.partition != partition || replica_.machine(n) != nullptr) continue;
    if (used.size() <= static_cast<size_t>(m.page)) used.resize(static_cast<size_t>(m.page) + 1);
    ++used[static_cast<size_t>(m.page)];
  }
  const size_t most = replica_.machines_per_page();
  const auto free = std::find_if(used.begin(), used.end(), [&](size_t n) { return n < most; });
  return static_cast<int>(free - used.begin());
}

void Fleet::assign_to_partition(const std::vector<std::string>& names, const Offer& offer,
                                int partition) {
  std::vector<std::pair<int, int>> load;
  if (partition < 0) count_by_partition(offer, load);
  for (const auto& name : names) {
    if (name.empty() || name.size() > model::kMaxName || unassigned_.count(name) != 0) continue;
    model::Machine m;
    m.name = name;
    m.type = offer.pool.type;
    m.zone = offer.zone;
    m.spot = offer.pool.spot;
    m.partition = partition;
    if (partition < 0) {
      // Each partition spans the zones: the one with the fewest of this kind here, then the
      // smallest.
      const auto least = std::min_element(load.begin(), load.end());
      m.partition = static_cast<int>(least - load.begin());
      ++least->first;
      ++least->second;
    }
    m.page = page_with_room(m.partition);
    m.rented = std::floor(ctx_.now.wall);
    unassigned_.emplace(name, std::move(m));
  }
}

void Fleet::write_machines() {
  std::set<std::pair<int, int>> changed;
  for (const auto& [n, m] : unassigned_)
    if (replica_.machine(n) == nullptr) changed.insert({m.partition, m.page});
  for (const auto& n : to_drop_)
    if (const model::Machine* m = replica_.machine(n)) changed.insert({m->partition, m->page});
  // Pages from before a lowered limit are split as soon as every controller knows of splits: the
  // store will not take another change of them one day.
  if (membership::Upgrade::complete(replica_))
    for (size_t b = 0; b < replica_.pages.size(); ++b)
      for (size_t p = 0; p < replica_.pages[b].size(); ++p)
        if (replica_.pages[b][p].names.size() > replica_.machines_per_page())
          changed.insert({static_cast<int>(b), static_cast<int>(p)});
  for (const auto& at : changed)
    if (writing_.count(at) == 0) write_page(at);
  std::erase_if(unassigned_, [&](const auto& d) { return replica_.machine(d.first) != nullptr; });
  std::erase_if(to_drop_, [&](const auto& n) { return replica_.machine(n) == nullptr; });
}

// A page's machines as they are to be, with those dealt to it as far as the value takes them: what
// it does not take goes to another page.
std::map<std::string, model::Machine> Fleet::planned_page(const PageId& at) {
  const auto [b, page] = at;
  const auto& pages = replica_.pages[static_cast<size_t>(b)];
  std::map<std::string, model::Machine> listed;
  if (static_cast<size_t>(page) < pages.size())
    for (const auto& n : pages[static_cast<size_t>(page)].names)
      listed.emplace(n, *replica_.machine(n));
  for (const auto& n : to_drop_) listed.erase(n);
  const size_t most_bytes = ctx_.settings.platform.state_value_bytes;
  for (auto& [n, m] : unassigned_) {
    if (m.partition != b || m.page != page || listed.count(n) != 0) continue;
    auto with = listed;
    with.emplace(n, m);
    if (wire::encode_machines(with).dump().size() <= most_bytes)
      listed = std::move(with);
    else
      m.page = static_cast<int>(pages.size());
  }
  return listed;
}

void Fleet::write_page(const PageId& at) {
  const auto [b, page] = at;
  const auto& pages = replica_.pages[static_cast<size_t>(b)];
  std::map<std::string, model::Machine> listed = planned_page(at);
  std::vector<PageId> written{at};
  std::vector<std::string> keys{wire::machines_key(b, page)};
  const bool known = static_cast<size_t>(page) < pages.size();
  std::vector<store::Precondition> preconditions{
      {wire::kLeaderKey, replica_.leader.revision},
      {keys[0], known ? pages[static_cast<size_t>(page)].revision : model::kNoRevision}};
  std::vector<store::Write> writes;
  // The new pages come first: who applies the changes in order misses no machine in between.
  const size_t most = replica_.machines_per_page();
  int fresh = static_cast<int>(pages.size());
  while (listed.size() > most && membership::Upgrade::complete(replica_)) {
    std::map<std::string, model::Machine> moved;
    while (listed.size() > most && moved.size() < most)
      moved.insert(listed.extract(std::prev(listed.end())));
    while (writing_.count({b, fresh}) != 0) ++fresh;
    written.emplace_back(b, fresh);
    keys.push_back(wire::machines_key(b, fresh++));
    preconditions.push_back({keys.back(), model::kNoRevision});
    writes.push_back({keys.back(), wire::encode_machines(moved), 0});
  }
  if (written.size() > 1)
    ctx_.info("fleet", "page {} of block {} is split into {}", page, b, written.size());
  writes.push_back({keys[0], wire::encode_machines(listed), 0});
  bool sent = committer_.commit(preconditions, std::move(writes),
                                [this, written, keys](const store::TransactionResult& r) {
                                  auto free = [this, written] {
                                    for (const auto& w : written) writing_.erase(w);
                                  };
                                  if (r.outcome == store::TransactionOutcome::kConflict ||
                                      r.outcome == store::TransactionOutcome::kUnknown)
                                    committer_.refresh(keys, free);
                                  else
                                    free();
                                });
  if (sent) writing_.insert(written.begin(), written.end());
}

// ---- releases ------------------------------------------------------------------------------

void Fleet::release(const std::string& name, const std::string& reason) {
  if (releasing_.emplace(name, reason).second) ctx_.info("fleet", "release {} ({})", name, reason);
}

void Fleet::send_releases() {
  std::vector<std::string> names;
  for (const auto& [name, reason] : releasing_)
    if (release_sent_.count(name) == 0 && names.size() < kReleaseBatch) names.push_back(name);
  if (names.empty()) return;
  bool sent = cloud_call("POST", "/hosts/release", wire::encode_release(names), kCallTimeout,
                         [this, names](const runtime::CallDone& d) {
                           for (const auto& n : names) {
                             release_sent_.erase(n);
                             if (d.status != 200) continue;
                             // The answer is the proof that the machine and its tasks are gone.
                             releasing_.erase(n);
                             unassigned_.erase(n);
                             drain_.erase(n);
                             gone_[n] = ctx_.now.steady;
                             to_drop_.insert(n);
                           }
                         });
  if (sent) release_sent_.insert(names.begin(), names.end());
}

void Fleet::judge(const wire::MachineStatusMap& statuses, const std::set<int>& suspect_partitions) {
  for (const auto& [name, m] : replica_.machines) {
    if (leaving(name)) continue;
    auto it = statuses.find(name);
    if (it == statuses.end()) continue;  // its owner says nothing: nothing is known
    const auto& v = it->second;
    if (!v.up && v.tasks == 0) {
      auto type = replica_.types.find(m.type);
      const double boot =
          type != replica_.types.end() ? type->second.boot_s : ctx_.settings.platform.lease_s;
      if (ctx_.now.wall - m.rented > kFailedBoot * boot) {
        release(name, "never came up");
        continue;
      }
    }
    if (v.silent && suspect_partitions.count(m.partition) == 0 && silent_machines_.may_release(m))
      release(name, "silent");
    else if (v.bad)
      release(name, "fails every task");
    else if (v.termination_notice && v.tasks == 0)
      release(name, "to be taken, and empty");
    else if (v.draining && drain_.count(name) != 0 && v.tasks == 0)
      release(name, "idle");
  }
}

// ---- policy --------------------------------------------------------------------------------

// The rule sizes a type as a whole, while a spread job needs room in a second zone (a few replicas'
// worth in each), and the replicas of a lost machine need room at once (what the fullest machine
// has, in all zones together). Lower work there makes room for replicas.
void Fleet::sum_zones(const wire::MachineStatusMap& statuses) {
  zones_.clear();
  for (const auto& [name, t] : replica_.types)
    for (const auto& z : t.zones) zones_[z];
  Zone& all = zones_[""];
  std::map<std::string, double> largest, replicas;
  double fullest = 0;
  for (const auto& [name, m] : replica_.machines) {
    if (m.spot) continue;
    const auto& load = replica_.load(name);
    fullest = std::max(fullest, load.replica_cpus);
    replicas[m.zone] += load.replica_cpus;
    if (load.replica_cpus > 0)
      for (const auto& ref : load.tasks) {
        const model::JobSpec& s = replica_.job(ref.job)->spec;
        if (s.shape != model::Shape::kService) continue;
        double& most = largest[m.zone];
        most = std::max(most, s.request.cpus);
      }
    if (drain_.count(name) != 0 || leaving(name)) continue;
    auto v = statuses.find(name);
    auto type = replica_.types.find(m.type);
    if (v == statuses.end() || type == replica_.types.end() || v->second.silent || v->second.bad)
      continue;
    const double room = type->second.capacity.cpus - load.replica_cpus;
    zones_[m.zone].room += room;
    all.room += room;
  }
  for (const auto& [name, h] : rentals_) {
    auto type = replica_.types.find(h.offer.pool.type);
    if (h.offer.pool.spot || type == replica_.types.end()) continue;
    zones_[h.offer.zone].room += h.count * type->second.capacity.cpus;
    all.room += h.count * type->second.capacity.cpus;
  }
  // Machines are lost by the dozen where there are hundreds, and a spread job's replicas have to
  // come back in the zone that they were lost from.
  for (const auto& [zone, cpus] : largest)
    zones_[zone].floor = std::max(kFloorTasks * cpus, kFloorPart * replicas[zone]);
  all.floor = kFloorMachines * fullest;
}

bool Fleet::zone_can_spare(const model::Machine& m) const {
  auto type = replica_.types.find(m.type);
  if (type == replica_.types.end()) return false;
  // The machine's own room goes, and its replicas take room elsewhere: all of its cores.
  for (const auto& zone : {m.zone, std::string()}) {
    const Zone& z = zones_.at(zone);
    if (z.room - type->second.capacity.cpus < z.floor) return false;
  }
  return true;
}

void Fleet::keep_zone_floors() {
  for (const auto& [name_of_zone, z] : zones_) {
    const std::string& zone = name_of_zone;
    if (z.floor <= 0 || z.room >= z.floor) continue;
    // A machine that was to be given back is kept first.
    auto kept = std::find_if(drain_.begin(), drain_.end(), [&](const std::string& name) {
      const model::Machine* m = replica_.machine(name);
      return m != nullptr && !m->spot && (zone.empty() || m->zone == zone) &&
             releasing_.count(name) == 0;
    });
    if (kept != drain_.end()) {
      ctx_.info("fleet", "machine {} is kept: little room in {}", *kept, zone);
      drain_.erase(kept);
      continue;
    }
    Offer best;
    double best_price = std::numeric_limits<double>::infinity(), size = 0;
    for (const auto& [name, t] : replica_.types)
      for (const auto& in : t.zones) {
        Offer offer;
        offer.pool.type = name;
        offer.zone = in;
        // In one zone the smallest price will do; for all of them it is the room that counts.
        const double price =
            zone.empty() && t.capacity.cpus > 0 ? t.price / t.capacity.cpus : t.price;
        if ((!zone.empty() && in != zone) || !open(offer) || price >= best_price) continue;
        best_price = price;
        best = offer;
        size = t.capacity.cpus;
      }
    if (best.zone.empty() || size <= 0) continue;
    const int count = std::max(1, static_cast<int>((z.floor - z.room) / size));
    rent(best, count, zone.empty() ? "little room in all" : "little room in the zone");
  }
}

void Fleet::run_policy(const wire::MachineStatusMap& statuses) {
  // What a late start costs follows from how rarely the users allow one.
  double miss = 1;
  for (const auto& o : ctx_.settings.platform.objectives)
    if (o.kind == "wait" && o.share < 1) miss = std::max(miss, 1 / (1 - o.share));
  const auto by_pool = pools();
  static const std::vector<const model::Machine*> kNone;
  for (const auto& [name, type] : replica_.types)
    for (bool spot : {false, true}) {
      const Pool pool{name, spot};
      auto machines = by_pool.find(pool);
      size_pool(pool, type, machines == by_pool.end() ? kNone : machines->second, statuses, miss);
    }
}

void Fleet::size_pool(const Pool& pool, const model::MachineType& type,
                      const std::vector<const model::Machine*>& machines,
                      const wire::MachineStatusMap& statuses, double miss) {
  const auto& op = ctx_.settings.operators;
  policy::Demand& d = demand_[pool];
  policy::SizingInput in;
  std::vector<std::pair<double, const model::Machine*>> given_back;
  std::map<std::string, int> per_zone;
  for (const model::Machine* m : machines) {
    ++per_zone[m->zone];
    if (leaving(m->name) || drain_.count(m->name) != 0) continue;
    auto v = statuses.find(m->name);
    if (v != statuses.end() && (v->second.bad || v->second.silent || v->second.termination_notice))
      continue;
    ++in.x;
    if (v == statuses.end()) continue;
    in.y += v->second.load;
    if (v->second.up && ctx_.now.wall - m->rented > kMinimumCharge)
      given_back.emplace_back(
          v->second.load * (1 + 0.25 * static_cast<double>(v->second.images.size())), m);
  }
  // R: what may be configured, less where the cloud has shown that it has no more.
  std::map<std::string, int> at_most;
  int ceiling = 0;
  for (const auto& z : type.zones) ceiling += at_most[z] = most({pool, z});
  if (op.ceiling > 0) ceiling = std::min(op.ceiling, ceiling);
  in.lambda = d.lambda();
  in.mu = d.mu();
  in.ceiling = std::max(ceiling, in.x);
  in.periods = op.periods;
  in.c1 = op.planned_cost;
  in.c2 = op.unplanned_cost * (pool.spot ? 1 : miss);
  in.h = op.holding_cost;
  if (in.x == 0 && in.lambda < 1e-6) return;
  const auto out = policy::size_fleet(in);
  ctx_.info("policy",
            "{} {}: x {} y {:.2f} lambda {:.3f} mu {:.3f} E[y] {:.2f} E[v] {:.3f} u {} cost "
            "{:.2f} R {}",
            pool.spot ? "spot" : "ordinary", pool.type, in.x, in.y, in.lambda, in.mu,
            out.expected_y, out.expected_v, out.u, out.cost, in.ceiling);
  if (out.u > 0) {
    std::map<std::string, int> wanted;
    for (int i = 0; i < out.u; ++i) {
      std::string best;
      for (const auto& z : type.zones)
        if (open({pool, z}) && per_zone[z] < at_most[z] && wanted[z] < kMaxMachinesPerRental &&
            (best.empty() || per_zone[z] < per_zone[best]))
          best = z;
      if (best.empty()) break;
      ++per_zone[best];
      ++wanted[best];
    }
    for (const auto& [z, n] : wanted) rent({pool, z}, n, "planned");
  } else if (out.u < 0) {
    // Idle machines go first, then those with the least on them, which are emptied.
    // One that holds many images is worth more: what starts there starts at once.
    std::sort(given_back.begin(), given_back.end(), [](const auto& a, const auto& b) {
      return a.first != b.first ? a.first < b.first : a.second->name < b.second->name;
    });
    int left = -out.u;
    for (const auto& [worth, machine] : given_back) {
      if (left == 0) break;
      if (!pool.spot) {
        if (!zone_can_spare(*machine)) continue;
        zones_[machine->zone].room -= type.capacity.cpus;
        zones_[""].room -= type.capacity.cpus;
      }
      drain_.insert(machine->name);
      --left;
    }
  }
}

// Where a task of a machine that is being emptied could go at once: its image is there already, so
// that a move costs a few messages' time.
bool Fleet::can_move(const model::Job& job, const model::Machine& from,
                     const wire::MachineStatusMap& statuses) const {
  const model::JobSpec& s = job.spec;
  std::map<std::string, uint32_t> zones;
  if (s.spread) {
    zones = replica_.tasks_by_zone(job);
    --zones[from.zone];
  }
  for (const auto& [target, v] : statuses) {
    if (!v.up || v.draining || s.request.cpus > v.cpus_free ||
        s.request.memory_gb > v.memory_free || s.request.gpus > v.gpus_free)
      continue;
    const model::Machine* to = replica_.machine(target);
    if (to == nullptr || target == from.name || drain_.count(target) != 0) continue;
    if (to->spot && !s.spot) continue;
    if (!s.zone.empty() && to->zone != s.zone) continue;
    if (s.one_zone && to->zone != from.zone) continue;
    if (s.spread && zones[to->zone] >= s.most_in_zone()) continue;
    if (!s.allows_type(to->type)) continue;
    if (std::find(v.images.begin(), v.images.end(), s.image) != v.images.end()) return true;
  }
  return false;
}

// Moves replicas a few at a time, so that hardly anybody notices; tasks that save their progress
// likewise. Tasks that would lose their work are left to finish. Machines take turns.
void Fleet::plan_moves(const wire::MachineStatusMap& statuses) {
  if (drain_.empty()) return;
  const auto part = static_cast<int>(kMovedPart * static_cast<double>(replica_.machines.size()));
  int replicas = 1 + part, tasks = kTasksMoved + part, looks = kMoveLooks;
  auto at = drain_.upper_bound(last_moved_);
  for (size_t i = 0; i < drain_.size() && looks > 0 && replicas + tasks > 0; ++i, ++at) {
    if (at == drain_.end()) at = drain_.begin();
    last_moved_ = *at;
    const model::Machine* from = replica_.machine(*at);
    if (from == nullptr) continue;
    for (const auto& ref : replica_.placed_on(*at)) {
      const model::Job* job = replica_.job(ref.job);
      const model::JobSpec& s = job->spec;
      // A gang's task would be lost to the others; gangs are left to finish.
      if (job->over() || s.shape == model::Shape::kGang) continue;
      const bool service = s.shape == model::Shape::kService;
      int& left = service ? replicas : tasks;
      if (left <= 0 || looks <= 0 || (service ? job->placed != s.tasks : s.checkpoint_s <= 0))
        continue;
      --looks;
      if (!can_move(*job, *from, statuses)) continue;
      ctx_.debug("fleet", "task {} is moved off {}", wire::task_name(ref), *at);
      moves_.push_back({ref.job, ref.index, replica_.task(ref)->attempt});
      --left;
    }
  }
}

std::vector<Fleet::Space> Fleet::spaces(const wire::MachineStatusMap& statuses) const {
  std::vector<Space> out;
  auto whole = [&](const model::MachineType& t, const std::string& zone, bool spot, int partition) {
    out.push_back(
        {&t, zone, spot, t.capacity.cpus, t.capacity.gpus, t.capacity.memory_gb, partition});
  };
  for (const auto& [name, m] : replica_.machines) {
    auto type = replica_.types.find(m.type);
    if (type == replica_.types.end() || leaving(name) || drain_.count(name) != 0) continue;
    auto v = statuses.find(name);
    const auto& t = type->second;
    if (v != statuses.end() && v->second.up) {
      if (v->second.cpus_free > 0)
        out.push_back({&t, m.zone, m.spot, v->second.cpus_free, v->second.gpus_free,
                       v->second.memory_free, m.partition});
    } else if (ctx_.now.wall - m.rented < model::kLateBoot * t.boot_s) {
      whole(t, m.zone, m.spot, m.partition);
    }
  }
  for (const auto& [name, m] : unassigned_) {
    auto type = replica_.types.find(m.type);
    if (type != replica_.types.end() && replica_.machine(name) == nullptr)
      whole(type->second, m.zone, m.spot, m.partition);
  }
  for (const auto& [name, h] : rentals_) {
    auto type = replica_.types.find(h.offer.pool.type);
    if (type == replica_.types.end()) continue;
    for (int i = 0; i < h.count; ++i)
      whole(type->second, h.offer.zone, h.offer.pool.spot, h.partition);
  }
  return out;
}

// The partition, and zone, that has room for all of a gang's tasks, or the most of it where more
// can be rented. Room for a part of them in each of several partitions is of no use: one owner
// places all.
Fleet::GangTarget Fleet::choose_gang_target(const model::JobSpec& s,
                                            const std::vector<Space>& rooms,
                                            int only_partition) const {
  std::map<std::pair<int, std::string>, double> tasks;  // by partition and zone
  for (size_t b = 0; b < replica_.leases.size(); ++b)
    for (const auto& [name, type] : replica_.types) {
      if (!s.allows_type(name)) continue;
      for (const auto& zone : type.zones)
        if (open({{name, false}, zone}) || (s.spot && open({{name, true}, zone})))
          tasks[{static_cast<int>(b), s.one_zone ? zone : ""}];
    }
  for (const auto& r : rooms) {
    if (r.partition < 0 || (r.spot && !s.spot) || !s.allows_type(r.type->name)) continue;
    const double n = std::min<double>(s.tasks, s.tasks_in({r.cpus, r.gpus, r.memory}));
    if (n >= 1) tasks[{r.partition, s.one_zone ? r.zone : ""}] += n;
  }
  GangTarget best;
  double most = -1;
  for (const auto& [at, n] : tasks) {
    const auto& [partition, zone] = at;
    if (only_partition >= 0 && partition != only_partition) continue;
    if (s.one_zone && !s.zone.empty() && zone != s.zone) continue;
    if (n <= most) continue;
    most = n;
    best = {partition, zone};
  }
  return best;
}

void Fleet::rent_for_waiting(const wire::MachineStatusMap& statuses,
                             const std::vector<Waiting>& waiting) {
  if (waiting.empty()) return;
  std::vector<Space> rooms = spaces(statuses);
  double least = std::numeric_limits<double>::infinity();
  for (const auto& w : waiting) least = std::min(least, w.job->spec.request.cpus);
  std::erase_if(rooms, [&](const Space& r) { return r.cpus + 1e-9 < least; });
  std::map<Offer, int> wanted, homes;
  const double pause = kRentReports * ctx_.settings.platform.report_s;
  // What waits in all, by whether it may use cheap machines: a machine is chosen to hold that, not
  // one job alone.
  std::map<bool, double> left;
  for (const auto& w : waiting) left[w.job->spec.spot] += w.count;
  for (const auto& w : waiting) {
    const model::JobSpec& s = w.job->spec;
    std::map<std::string, uint32_t> zones;
    std::string only_zone = s.zone;
    if (s.spread || s.one_zone)
      for (const auto& c : w.job->shards)
        for (const auto& t : c.tasks)
          if (const model::Machine* m = t.machine.empty() ? nullptr : replica_.machine(t.machine)) {
            ++zones[m->zone];
            if (s.one_zone) only_zone = m->zone;
          }
    // A limit too small to be divided lies with one partition: only room there is of use.
    int home = quota::undivided_quota_partition(ctx_.settings, replica_, s.team).value_or(-1);
    if (s.shape == model::Shape::kGang) {
      const GangTarget gang = choose_gang_target(s, rooms, home);
      home = gang.partition;
      if (s.one_zone) only_zone = gang.zone;
    }
    auto in_partition = [&](int partition) { return home < 0 || partition == home; };
    // How many more tasks a zone may take.
    auto zone_left = [&](const std::string& zone) -> uint32_t {
      if (!only_zone.empty() && zone != only_zone) return 0;
      if (!s.spread) return s.tasks;
      const uint32_t most_there = s.most_in_zone();
      return most_there - std::min(zones[zone], most_there);
    };
    uint32_t count = w.count;
    // As many tasks as a space takes, all at once: they are alike.
    auto fill = [&](Space& r) {
      if ((r.spot && !s.spot) || !in_partition(r.partition) || !s.allows_type(r.type->name)) return;
      const double n = std::min<double>(std::min(count, zone_left(r.zone)),
                                        s.tasks_in({r.cpus, r.gpus, r.memory}));
      if (n < 1) return;
      r.cpus -= n * s.request.cpus;
      r.gpus -= n * s.request.gpus;
      r.memory -= n * s.request.memory_gb;
      count -= static_cast<uint32_t>(n);
      left[s.spot] -= n;
      zones[r.zone] += static_cast<uint32_t>(n);
      if (s.one_zone) only_zone = r.zone;
    };
    for (auto& r : rooms) {
      if (count == 0) break;
      fill(r);
    }
    // A machine that was to be given back is kept instead.
    for (auto d = drain_.begin(); d != drain_.end() && count > 0;) {
      const model::Machine* m = replica_.machine(*d);
      auto v = statuses.find(*d);
      auto type = m != nullptr ? replica_.types.find(m->type) : replica_.types.end();
      if (v == statuses.end() || !v->second.up || releasing_.count(*d) != 0 ||
          type == replica_.types.end() || v->second.load + share(s, type->second) > 1) {
        ++d;
        continue;
      }
      const double rest = 1 - v->second.load;
      Space kept{&type->second,
                 m->zone,
                 m->spot,
                 type->second.capacity.cpus * rest,
                 type->second.capacity.gpus * rest,
                 type->second.capacity.memory_gb * rest,
                 m->partition};
      const uint32_t before = count;
      fill(kept);
      if (count == before) {
        ++d;
        continue;
      }
      ctx_.info("fleet", "machine {} is kept for waiting tasks", *d);
      rooms.push_back(kept);
      d = drain_.erase(d);
    }
    while (count > 0) {
      // The cheapest way to hold what still waits of this job.
      Offer best{};
      const model::MachineType* best_type = nullptr;
      double best_cost = std::numeric_limits<double>::infinity();
      for (const auto& [name, t] : replica_.types) {
        if (!s.allows_type(name) || s.request.cpus > t.capacity.cpus ||
            s.request.gpus > t.capacity.gpus || s.request.memory_gb > t.capacity.memory_gb)
          continue;
        for (bool spot : {true, false}) {
          if (spot && !s.spot) continue;
          for (const auto& z : t.zones) {
            const Offer offer{{name, spot}, z};
            if (zone_left(z) == 0 || !open(offer) ||
                wanted[offer] >= kRentalsAhead * kMaxMachinesPerRental)
              continue;
            const double slots = std::max(1.0, std::floor(1 / std::max(1e-6, share(s, t))));
            const double cost = (spot ? t.spot_price : t.price) /
                                std::min(slots, 2.0 * left[s.spot]) * (1 + 0.01 * wanted[offer]);
            if (cost < best_cost) {
              best_cost = cost;
              best = offer;
              best_type = &t;
            }
          }
        }
      }
      if (best_type == nullptr) break;
      ++wanted[best];
      if (home >= 0) homes[best] = home;
      rooms.push_back({best_type, best.zone, best.pool.spot, best_type->capacity.cpus,
                       best_type->capacity.gpus, best_type->capacity.memory_gb, home});
      const uint32_t before = count;
      fill(rooms.back());
      if (count == before) break;
    }
  }
  // The largest need first: the cloud takes only so many calls.
  std::vector<std::pair<int, Offer>> calls;
  for (const auto& [offer, n] : wanted)
    if (n > 0) calls.emplace_back(-n, offer);
  std::sort(calls.begin(), calls.end());
  for (const auto& [n, offer] : calls) {
    auto last = last_rental_.find(offer);
    // At most one call per type and zone every few seconds.
    if (last != last_rental_.end() && ctx_.now.steady < last->second + pause) continue;
    auto at = homes.find(offer);
    rent(offer, -n, "on demand", at == homes.end() ? -1 : at->second);
  }
}

void Fleet::tick(const wire::MachineStatusMap& statuses, const std::vector<Waiting>& waiting,
                 const std::set<int>& suspect_partitions, const UnreachableZones& unreachable) {
  if (!active_) return;
  const double now = ctx_.now.steady;
  limit_.refill(now);
  std::erase_if(gone_, [&](const auto& g) {
    return now - g.second > 4 * ctx_.settings.platform.cloud_list_lag_s + 30;
  });
  silent_machines_.observe(statuses, unreachable);
  judge(statuses, suspect_partitions);
  send_releases();
  fetch_catalog();
  send_rentals();
  if (!listing_busy_ && now >= next_list_) fetch_list();
  if (now >= next_on_demand_ && !replica_.types.empty()) {
    next_on_demand_ = now + ctx_.settings.platform.report_s / 3;
    rent_for_waiting(statuses, waiting);
    send_rentals();
  }
  if (now >= next_move_) {
    next_move_ = now + kMoveReports * ctx_.settings.platform.report_s;
    plan_moves(statuses);
  }
  if (now >= next_period_ && list_seen_) {
    next_period_ = now + ctx_.settings.operators.period_reports * ctx_.settings.platform.report_s;
    sum_zones(statuses);
    run_policy(statuses);
    keep_zone_floors();
    send_rentals();
  }
  write_machines();
}

}  // namespace rooksill::fleet
