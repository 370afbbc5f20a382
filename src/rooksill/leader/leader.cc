#include "rooksill/leader/leader.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "rooksill/membership/upgrade.h"
#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/quota/quota_shares.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::leader {

using nlohmann::json;

namespace {
constexpr double kSafety = 0.9;  // part of a lease's time that its owner counts on
constexpr double kRerouteReports =
    1;  // how long a shard waits in a partition before another is tried
constexpr double kGangRerouteReports = 0.25;  // the same of a gang
constexpr size_t kTurnJobs = 20;         // waiting jobs whose routes are looked at with each tick
constexpr size_t kTurnsPerReroute = 10;  // or such a part of them
constexpr double kGatherReports = 0.2;   // from a process's start until it leads without the others
constexpr double kSettleReports =
    2;  // how long a peer must be back before it holds partitions again
}  // namespace

Leader::Leader(runtime::Context& ctx, store::Replica& replica, store::Client& client,
               store::Committer& committer, membership::Peers& peers,
               partition::PartitionOwner& owner, fleet::Fleet& fleet)
    : ctx_(ctx),
      replica_(replica),
      client_(client),
      committer_(committer),
      peers_(peers),
      owner_(owner),
      fleet_(fleet),
      limits_(ctx, replica) {}

bool Leader::leading() const {
  return leading_ && ctx_.now.steady < valid_until_ &&
         replica_.leader.label == ctx_.settings.platform.label &&
         replica_.leader.incarnation == ctx_.incarnation &&
         replica_.synced_revision >= replica_.leader.revision;
}

bool Leader::absent() const {
  if (leading()) return false;
  for (const auto& [label, p] : peers_.all())
    if (p.heartbeat.term > 0 && ctx_.now.steady - p.last_heard < peers_.silence() / 2) return false;
  return true;
}

// ---- election ------------------------------------------------------------------------------

void Leader::elect() {
  const double ttl = ctx_.settings.operators.leader_ttl_reports * ctx_.settings.platform.report_s;
  const double now = ctx_.now.steady;
  if (!replica_.synced) return;
  if (leading_) {
    const bool ours = replica_.leader.label == ctx_.settings.platform.label &&
                      replica_.leader.incarnation == ctx_.incarnation;
    if (now >= valid_until_ || !ours) return resign("lease ended");
    if (peers_.last_heard_any() > term_started_) heard_peer_ = true;
    // A leader that hears nobody may be cut off while its lease holds; the others cannot know.
    if (heard_peer_ && now - peers_.last_heard_any() > 2 * peers_.silence()) {
      heard_peer_ = false;
      return resign("no other controller is heard");
    }
    if (!renewing_ && now >= next_renewal_) renew();
    return;
  }
  // Our own former process is dead for certain: its key need not run out. Any other's must.
  const bool former_self = replica_.leader.revision != model::kNoRevision &&
                           replica_.leader.label == ctx_.settings.platform.label &&
                           replica_.leader.incarnation != ctx_.incarnation;
  if (replica_.leader.revision != model::kNoRevision && !former_self) {
    vacant_since_ = 0;
    return;
  }
  if (vacant_since_ == 0) {
    vacant_since_ = now;
    next_try_ = now + ctx_.uniform(0, ttl / 20);
  }
  // One that hears nobody stands back for a while, for those that hear one another.
  const bool alone = !peers_.all().empty() && now - peers_.last_heard_any() > peers_.silence();
  if (alone && now - vacant_since_ < ttl) return;
  if (!electing_ && now >= next_try_) stand();
}

void Leader::stand() {
  const double ttl = ctx_.settings.operators.leader_ttl_reports * ctx_.settings.platform.report_s;
  const int ttl_ms = static_cast<int>(std::clamp(ttl * 1000, 100.0, 600000.0));
  const double asked = ctx_.now.steady;
  next_try_ = asked + ttl / 5 + ctx_.uniform(0, ttl / 10);
  electing_ = client_.raw(
      "POST", "/grants", json{{"ttl_ms", ttl_ms}}.dump(), 1,
      [this, ttl, asked](const runtime::CallDone& d) {
        json j = d.status == 200 ? json::parse(d.body, nullptr, false) : json();
        if (!j.is_object() || !j.contains("hold") || !j["hold"].is_number_unsigned() ||
            (replica_.leader.revision != model::kNoRevision &&
             replica_.leader.label != ctx_.settings.platform.label)) {
          electing_ = false;
          return;
        }
        const uint64_t hold = j["hold"];
        const uint64_t term = replica_.term + 1;
        json value{{"h", ctx_.settings.platform.label}, {"i", ctx_.incarnation}, {"t", term}};
        bool sent = committer_.commit(
            {{wire::kLeaderKey, replica_.leader.revision},
             {wire::kTermKey, replica_.term_revision}},
            {{wire::kLeaderKey, value, hold}, {wire::kTermKey, json{{"t", term}}, 0}},
            [this, hold, term, asked, ttl](const store::TransactionResult& r) {
              electing_ = false;
              if (r.outcome == store::TransactionOutcome::kApplied) {
                leading_ = true;
                heard_peer_ = false;
                term_ = term;
                lease_ = hold;
                valid_until_ = asked + ttl * kSafety;
                next_renewal_ = ctx_.now.steady + ttl / 4;
                term_started_ = ctx_.now.steady;
                routes_.clear();
                leasing_.clear();
                finishing_.clear();
                gave_up_.clear();
                next_full_routes_ = next_sum_ = 0;
                fresh_routes_.clear();
                waiting_since_.clear();
                ctx_.info("leader", "leading in term {}", term);
                fleet_.start_term(term);
                return;
              }
              // Whatever became of it, the lease is given back, and the
              // key with it.
              client_.raw("DELETE", "/grants/" + std::to_string(hold), "", 1,
                          [](const runtime::CallDone&) {});
              if (r.outcome == store::TransactionOutcome::kConflict)
                committer_.refresh({wire::kTermKey, wire::kLeaderKey}, [] {});
            });
        if (!sent) electing_ = false;
      });
}

void Leader::renew() {
  const double ttl = ctx_.settings.operators.leader_ttl_reports * ctx_.settings.platform.report_s;
  const double asked = ctx_.now.steady;
  renewing_ = client_.raw("POST", "/grants/" + std::to_string(lease_) + "/touch", "", ttl / 4,
                          [this, asked, ttl, lease = lease_](const runtime::CallDone& d) {
                            renewing_ = false;
                            if (!leading_ || lease != lease_) return;
                            next_renewal_ = ctx_.now.steady + ttl / (d.status == 200 ? 4 : 12);
                            if (d.status == 200) valid_until_ = asked + ttl * kSafety;
                            if (d.status == 404) resign("lease is gone");
                          });
}

void Leader::resign(const std::string& why) {
  ctx_.info("leader", "term {} ends here: {}", term_, why);
  leading_ = false;
  renewing_ = false;
  fleet_.stop();
  client_.raw("DELETE", "/grants/" + std::to_string(lease_), "", 1,
              [](const runtime::CallDone&) {});
  vacant_since_ = 0;
}

// ---- leases of partitions ----------------------------------------------------------------------

uint64_t Leader::incarnation_of(const std::string& label) const {
  if (label == ctx_.settings.platform.label) return ctx_.incarnation;
  const membership::Peer* p = peers_.find(label);
  return p != nullptr ? p->incarnation : 0;
}

bool Leader::may_own(const std::string& label) {
  std::string why;
  if (label == ctx_.settings.platform.label) {
    if (owner_.suspects_itself()) why = "it suspects itself";
  } else if (!peers_.alive(label)) {
    why = "it is not heard";
  } else {
    const membership::Peer& peer = *peers_.find(label);
    const wire::ControllerHeartbeat& b = peer.heartbeat;
    if (!b.ready)
      why = "its replica is not loaded";
    else if (membership::Upgrade::runs_older_version(replica_, label, peer))
      why = "it runs an older version";
    else if (!b.store_ok)
      why = "the state service does not answer it";
    else if (b.suspects_itself)
      why = "it suspects itself";
  }
  std::string& known = unfit_[label];
  if (known != why) {
    ctx_.info("leader", "{} is {}", label, why.empty() ? "fit to hold blocks" : "not fit: " + why);
    known = why;
  }
  return why.empty();
}

void Leader::lease(int partition, const std::string& label, uint64_t incarnation,
                   const std::string& why) {
  if (leasing_.count(partition) != 0) return;
  model::PartitionLease next;
  next.owner = label;
  next.incarnation = incarnation;
  for (const auto& l : replica_.leases)
    next.fencing_token = std::max(next.fencing_token, l.fencing_token);
  next.fencing_token = model::next(next.fencing_token);
  const auto key = wire::lease_key(partition);
  bool sent = committer_.commit({{wire::kLeaderKey, replica_.leader.revision},
                                 {key, replica_.leases[static_cast<size_t>(partition)].revision}},
                                {{key, wire::encode_lease(next), 0}},
                                [this, partition, key](const store::TransactionResult& r) {
                                  if (r.outcome == store::TransactionOutcome::kConflict ||
                                      r.outcome == store::TransactionOutcome::kUnknown) {
                                    committer_.refresh(
                                        {key}, [this, partition] { leasing_.erase(partition); });
                                    return;
                                  }
                                  leasing_.erase(partition);
                                });
  if (!sent) return;
  leasing_.insert(partition);
  ctx_.info("leader", "block {} leased to {} with token {} ({})", partition, label,
            model::number(next.fencing_token), why);
}

void Leader::assign_partitions() {
  const auto labels = ctx_.settings.platform.labels();
  const double settle = kSettleReports * ctx_.settings.platform.report_s;
  std::map<std::string, int> held;
  std::vector<std::string> fit;
  for (const auto& l : labels)
    if (may_own(l)) {
      fit.push_back(l);
      held[l] = 0;
    }
  // Where every node sees silence it is the machines that are silent.
  if (fit.empty())
    for (const auto& l : labels)
      if (l == ctx_.settings.platform.label || peers_.alive(l)) fit.push_back(l);
  if (fit.empty()) return;
  for (const auto& l : replica_.leases) ++held[l.owner];
  const double now = ctx_.now.steady;
  const int partitions = static_cast<int>(replica_.leases.size());
  // After a crash of all, the others are heard a moment later than the first of them leads: to wait
  // for them costs less than to have one face all workers first and deal them out again.
  const bool early = now - started_ < kGatherReports * ctx_.settings.platform.report_s &&
                     std::any_of(labels.begin(), labels.end(), [&](const auto& label) {
                       const membership::Peer* p = peers_.find(label);
                       return p != nullptr && (p->incarnation == 0 || !p->heartbeat.ready);
                     });
  auto least = [&] {
    return *std::min_element(fit.begin(), fit.end(),
                             [&](const auto& a, const auto& b) { return held[a] < held[b]; });
  };
  for (int b = 0; b < partitions; ++b) {
    const model::PartitionLease& l = replica_.leases[static_cast<size_t>(b)];
    const bool current = std::find(fit.begin(), fit.end(), l.owner) != fit.end() &&
                         l.incarnation == incarnation_of(l.owner);
    if (current || early) continue;
    const std::string to = least();
    ++held[to];
    const membership::Peer* p = peers_.find(l.owner);
    const bool suspects = l.owner == ctx_.settings.platform.label
                              ? owner_.suspects_itself()
                              : p != nullptr && p->heartbeat.suspects_itself;
    if (suspects) gave_up_[b] = now;
    lease(b, to, incarnation_of(to), l.owner.empty() ? "first lease" : "holder is not fit");
  }
  // One that has been back for a while gets a partition of the one with the most, its own one if it
  // is among them. Not only its own: after several crashes each may hold another's.
  std::string most = fit.front(), to;
  for (const auto& label : fit) {
    const membership::Peer* p = peers_.find(label);
    const double back = p != nullptr ? p->first_heard : term_started_;
    if (held[label] > held[most]) most = label;
    if (now - back > settle && (to.empty() || held[label] < held[to])) to = label;
  }
  if (to.empty() || held[most] < held[to] + 2 || !leasing_.empty()) return;
  int moved = -1;
  for (int b = 0; b < partitions; ++b) {
    if (replica_.leases[static_cast<size_t>(b)].owner != most) continue;
    const bool home = labels[static_cast<size_t>(b) % labels.size()] == to;
    if (moved < 0 || home) moved = b;
    if (home) break;
  }
  if (moved >= 0) lease(moved, to, incarnation_of(to), "it holds fewer");
}

// Partitions whose owner saw nearly all machines fall silent: it may be the owner's own trouble.
// The next owner's word is taken.
std::set<int> Leader::suspect_partitions() {
  std::set<int> out;
  const double report = ctx_.settings.platform.report_s;
  for (int b = 0; b < static_cast<int>(replica_.leases.size()); ++b) {
    const std::string& owner = replica_.leases[static_cast<size_t>(b)].owner;
    const membership::Peer* p = peers_.find(owner);
    const bool suspects =
        owner == ctx_.settings.platform.label
            ? owner_.suspects_itself()
            : p == nullptr || p->heartbeat.suspects_itself || !peers_.alive(owner);
    auto g = gave_up_.find(b);
    const bool second = g != gave_up_.end() && ctx_.now.steady - g->second < 20 * report;
    if (suspects && !second) out.insert(b);
  }
  return out;
}

// Zones that owners find cut off. One inside such a zone sees it otherwise.
fleet::UnreachableZones Leader::unreachable_zones() const {
  std::set<std::string> owners;
  std::map<std::string, std::set<std::string>> votes;  // zone -> owners
  fleet::UnreachableZones out;
  for (int b = 0; b < static_cast<int>(replica_.leases.size()); ++b) {
    const std::string& owner = replica_.leases[static_cast<size_t>(b)].owner;
    owners.insert(owner);
    const membership::Peer* p = peers_.find(owner);
    const auto unreachable = owner == ctx_.settings.platform.label ? owner_.unreachable_zones()
                             : p != nullptr                        ? p->heartbeat.unreachable_zones
                                                                   : std::vector<std::string>();
    for (const auto& zone : unreachable) {
      out.to_owner.insert({b, zone});
      votes[zone].insert(owner);
    }
  }
  for (const auto& [zone, by] : votes)
    if (by.size() * 2 > owners.size()) out.to_most.insert(zone);
  return out;
}

// ---- routing -------------------------------------------------------------------------------

// What teams use of their limits, as far as owners can be heard.
void Leader::refresh_quotas() {
  std::vector<wire::QuotaUse> used = owner_.quota_use();
  for (const auto& [label, p] : peers_.all()) {
    if (!peers_.heard(label)) continue;
    for (const auto& u : p.heartbeat.quota_use) {
      const bool known =
          u.partition >= 0 && static_cast<size_t>(u.partition) < replica_.leases.size();
      if (known && replica_.leases[static_cast<size_t>(u.partition)].owner == label)
        used.push_back(u);
    }
  }
  limits_.refresh(used);
}

void Leader::sum_up(const wire::MachineStatusMap& statuses) {
  pools_.assign(replica_.leases.size(), {});
  std::vector<std::map<std::tuple<std::string, std::string, bool>, size_t>> at(pools_.size());
  for (const auto& [name, v] : statuses) {
    const model::Machine* m = replica_.machine(name);
    if (m == nullptr || !v.up) continue;
    auto type = replica_.types.find(m->type);
    if (type == replica_.types.end()) continue;
    auto& pools = pools_[static_cast<size_t>(m->partition)];
    auto [it, fresh] = at[static_cast<size_t>(m->partition)].try_emplace(
        {m->type, m->zone, m->spot}, pools.size());
    if (fresh) {
      pools.emplace_back();
      pools.back().type = &type->second;
      pools.back().zone = m->zone;
      pools.back().spot = m->spot;
    }
    Pool& p = pools[it->second];
    for (size_t k = 0; k < p.cpus_by_priority.size(); ++k)
      p.cpus_by_priority[k] += v.cpus_by_priority[k];
    if (v.cpus_free <= 0) continue;
    p.cpus += v.cpus_free;
    p.memory += v.memory_free;
    p.gpus += v.gpus_free;
    for (const auto& image : v.images) p.cached[image] += v.cpus_free;
  }
}

int Leader::choose_partition(const model::Job& job, uint32_t shard, int tried) {
  const model::JobSpec& s = job.spec;
  const size_t partitions = replica_.leases.size();
  pools_.resize(partitions);
  std::vector<double> score(partitions);
  std::map<std::string, uint32_t> zones;
  std::string only_zone = s.zone;
  if (s.spread || s.one_zone) {
    for (const auto& c : job.shards)
      for (const auto& t : c.tasks)
        if (const model::Machine* m = t.machine.empty() ? nullptr : replica_.machine(t.machine)) {
          score[static_cast<size_t>(m->partition)] += 0.5;
          ++zones[m->zone];
          if (s.one_zone) only_zone = m->zone;
        }
  }
  const model::TaskShard& c = job.shards[shard];
  const double wanted = static_cast<double>(c.tasks.size()) - c.done - c.placed;
  const uint32_t most_in_zone = s.most_in_zone();
  auto usable = [&](const Pool& p) {
    if (p.spot && !s.spot) return false;
    if (!only_zone.empty() && p.zone != only_zone) return false;
    return s.allows_type(p.type->name);
  };
  auto slots = [&](const Pool& p, double cpus) {
    double n = wanted;
    if (s.request.cpus > 0) n = std::min(n, std::floor(cpus / s.request.cpus + 1e-9));
    if (s.request.memory_gb > 0) n = std::min(n, std::floor(p.memory / s.request.memory_gb + 1e-9));
    if (s.request.gpus > 0) n = std::min(n, std::floor(p.gpus / s.request.gpus + 1e-9));
    return std::max(0.0, n) * (s.spot && !p.spot ? 0.3 : 1);
  };
  // What lower work could leave, if there is no room.
  auto lower_cpus = [&](const Pool& p) {
    double sum = 0;
    for (size_t k = 0; k < static_cast<size_t>(s.priority); ++k) sum += p.cpus_by_priority[k];
    return sum;
  };
  std::vector<quota::PartitionFit> fits(partitions);
  for (size_t b = 0; b < partitions; ++b) {
    std::map<std::string, double> per_zone;
    double cached = 0, lower = 0;
    for (const Pool& p : pools_[b]) {
      if (!usable(p)) continue;
      per_zone[p.zone] += slots(p, p.cpus);
      lower += lower_cpus(p);
      auto there = p.cached.find(s.image);
      if (there != p.cached.end()) cached += slots(p, std::min(there->second, p.cpus));
    }
    double fit = 0;
    for (const auto& [zone, n] : per_zone) {
      if (s.one_zone)
        fit = std::max(fit, n);
      else if (s.spread)
        fit += std::min(n, static_cast<double>(most_in_zone) - std::min(zones[zone], most_in_zone));
      else
        fit += n;
    }
    // A gang needs room for all of its tasks at once: a part is of use only for being nearest to
    // it.
    if (s.shape == model::Shape::kGang && fit < s.tasks) {
      score[b] += fit;
      fit = cached = 0;
    }
    fits[b].room = fit;
    // A partition without a share for this team cannot take the job, whatever its room.
    const int partition = static_cast<int>(b);
    if (quota::quota_share(ctx_.settings, replica_, s.team, partition).cpus < s.request.cpus) {
      score[b] = -1;
      continue;
    }
    const double within = limits_.tasks_left(s, partition);
    fits[b].within_share = std::min(fit, within);
    fit = std::min(fit, within);
    cached = std::min(cached, within);
    // Where there is no room, work goes to where lower work can make it.
    const double unplaced = std::max(0.0, std::min(wanted, within) - fit);
    if (s.request.cpus > 0) score[b] += 2 * std::min(unplaced, std::floor(lower / s.request.cpus));
    score[b] +=
        10 * std::min(fit, wanted) + 5 * std::min(cached, wanted) + 0.01 * std::min(fit, 100.0);
    // Sums over machines say too much of room for a whole gang: where it found none, another
    // partition that seems to have it is tried.
    if (partition == tried) score[b] /= 2;
    // Among equals, jobs are dealt out evenly.
    score[b] +=
        0.001 * static_cast<double>((std::hash<std::string>{}(s.id) + shard + b) % partitions);
  }
  const auto best =
      static_cast<size_t>(std::max_element(score.begin(), score.end()) - score.begin());
  if (fits[best].within_share < wanted) limits_.note(s, wanted, fits);
  limits_.take(s, static_cast<int>(best), std::min(wanted, fits[best].within_share));
  // The next job finds less room there, also before its owner has said so.
  double left = wanted;
  for (Pool& p : pools_[best]) {
    if (left <= 0) break;
    if (!usable(p) || s.request.cpus <= 0) continue;
    const double n = std::min(left, std::max(0.0, std::floor(p.cpus / s.request.cpus)));
    p.cpus -= n * s.request.cpus;
    p.memory -= n * s.request.memory_gb;
    p.gpus -= n * s.request.gpus;
    left -= n;
  }
  for (Pool& p : pools_[best]) {
    if (!usable(p)) continue;
    for (size_t k = 0; k < static_cast<size_t>(s.priority) && left > 0; ++k) {
      const double stopped = std::min(p.cpus_by_priority[k], left * s.request.cpus);
      p.cpus_by_priority[k] -= stopped;
      if (s.request.cpus > 0) left -= stopped / s.request.cpus;
    }
  }
  return static_cast<int>(best);
}

// Waiting jobs that a batch touched get their routes at once; the others are looked at in turn.
void Leader::route_now() {
  if (!leading()) return;
  for (const auto& id : replica_.touched_jobs)
    if (replica_.waiting_jobs.count(id) != 0) unrouted_.insert(id);
  if (unrouted_.empty()) return;
  route(unrouted_);
  unrouted_.clear();
  send_routes();
}

void Leader::route(const std::set<std::string>& jobs) {
  const double now = ctx_.now.steady;
  const double report = ctx_.settings.platform.report_s;
  // Owners that hear no leader place what falls to them by a rule; so does the leader then.
  const bool apart =
      std::any_of(replica_.leases.begin(), replica_.leases.end(), [&](const auto& l) {
        return !l.owner.empty() && l.owner != ctx_.settings.platform.label &&
               !peers_.heard(l.owner);
      });
  for (const auto& id : jobs) {
    const model::Job* found = replica_.job(id);
    if (found == nullptr || replica_.waiting_jobs.count(id) == 0) continue;
    const model::Job& job = *found;
    const bool gang = job.spec.shape == model::Shape::kGang;
    const double patience = (gang ? kGangRerouteReports : kRerouteReports) * report;
    int together = -1;
    for (uint32_t c = 0; c < job.shards.size(); ++c) {
      const model::TaskShard& shard = job.shards[c];
      if (shard.done + shard.placed >= shard.tasks.size()) continue;
      auto it = routes_.find({id, c});
      int partition;
      if (it != routes_.end() && now - it->second.since < patience) {
        partition = it->second.partition;
      } else if (together >= 0) {
        partition = together;
      } else if (apart) {
        partition = quota::fallback_partition(ctx_.settings, replica_, job, c, ctx_.now.wall);
      } else {
        partition =
            choose_partition(job, c, gang && it != routes_.end() ? it->second.partition : -1);
      }
      // One partition at a time decides for a job whose tasks depend on each other's places.
      if (job.spec.one_zone || job.spec.spread || gang) together = partition;
      if (it != routes_.end() && it->second.partition == partition) {
        if (now - it->second.since >= patience) it->second.since = now;
        continue;
      }
      routes_[{id, c}] = {partition, now};
      fresh_routes_[partition].push_back({id, c});
    }
  }
}

void Leader::send_routes() {
  const double now = ctx_.now.steady;
  const bool full = now >= next_full_routes_;
  const auto moves = fleet_.take_moves();
  std::vector<bool> can_give;
  for (const auto& l : replica_.leases)
    can_give.push_back(l.owner == ctx_.settings.platform.label || peers_.heard(l.owner));
  const auto transfers = limits_.decide(can_give);
  if (!full && fresh_routes_.empty() && moves.empty() && transfers.empty()) return;
  std::map<std::string, wire::RoutingUpdate> messages;
  for (const auto& label : ctx_.settings.platform.labels()) {
    wire::RoutingUpdate& m = messages[label];
    m.term = term_;
    m.full = full;
  }
  auto owner = [&](int partition) { return replica_.leases[static_cast<size_t>(partition)].owner; };
  if (full) {
    next_full_routes_ = now + ctx_.settings.platform.report_s / 6;
    std::erase_if(routes_, [&](const auto& r) {
      const model::Job* job = replica_.job(r.first.job);
      if (job == nullptr || job->over() || r.first.index >= job->shards.size()) return true;
      const model::TaskShard& c = job->shards[r.first.index];
      return c.done + c.placed >= c.tasks.size();
    });
    for (const auto& [key, r] : routes_)
      messages[owner(r.partition)].routes.push_back({key.job, key.index});
    for (const auto& name : fleet_.draining())
      if (const model::Machine* m = replica_.machine(name))
        messages[owner(m->partition)].drain.push_back(name);
  } else {
    for (const auto& [partition, routes] : fresh_routes_) {
      auto& to = messages[owner(partition)].routes;
      to.insert(to.end(), routes.begin(), routes.end());
    }
  }
  fresh_routes_.clear();
  for (auto& [label, m] : messages) m.moves = moves;
  for (const auto& t : transfers) messages[owner(t.from)].transfers.push_back(t);
  for (auto& [label, m] : messages) {
    if (!full && m.routes.empty() && m.moves.empty() && m.transfers.empty()) continue;
    if (label == ctx_.settings.platform.label)
      owner_.routes(m);
    else if (!label.empty())
      peers_.send(label, wire::PeerKind::kRouting, wire::pack(m));
  }
}

// Since when each shard waits. What has just come is being placed; only what found no room counts.
std::vector<fleet::Waiting> Leader::waiting() {
  std::vector<fleet::Waiting> out;
  std::map<model::ShardId, double> since;
  const double now = ctx_.now.steady;
  for (const auto& id : replica_.waiting_jobs) {
    const model::Job& job = *replica_.job(id);
    if (owner_.backing_off(id)) continue;
    uint32_t count = 0;
    for (uint32_t c = 0; c < job.shards.size(); ++c) {
      const model::TaskShard& shard = job.shards[c];
      const auto left = static_cast<uint32_t>(shard.tasks.size()) - shard.done - shard.placed;
      if (left == 0) continue;
      auto it = waiting_since_.find({id, c});
      const double from = since[{id, c}] = it != waiting_since_.end() ? it->second : now;
      if (now - from > ctx_.settings.platform.report_s / 6) count += left;
    }
    if (count > 0) out.push_back({&job, count});
  }
  waiting_since_ = std::move(since);
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    if (a.job->spec.priority != b.job->spec.priority)
      return a.job->spec.priority > b.job->spec.priority;
    return a.job->submitted < b.job->submitted;
  });
  return out;
}

// Two owners may finish the last tasks of a job at once, each without seeing the other's.
void Leader::finish_jobs() {
  for (const auto& id : replica_.finished_jobs) {
    const model::Job& job = *replica_.job(id);
    if (finishing_.count(id) != 0) continue;
    model::Job ended;
    ended.spec.tasks = job.spec.tasks;
    ended.end = model::JobEnd::kDone;
    bool sent = committer_.commit(
        {{wire::job_key(id), job.revision}}, {{wire::job_key(id), wire::encode_job(ended), 0}},
        [this, id](const store::TransactionResult& r) {
          if (r.outcome == store::TransactionOutcome::kApplied ||
              r.outcome == store::TransactionOutcome::kRefused) {
            finishing_.erase(id);
            return;
          }
          committer_.refresh({wire::job_key(id)}, [this, id] { finishing_.erase(id); });
        });
    if (sent) finishing_.insert(id);
  }
}

void Leader::tick(const wire::MachineStatusMap& statuses) {
  if (started_ == 0) started_ = ctx_.now.steady;
  elect();
  if (!leading()) return;
  const double now = ctx_.now.steady;
  const double report = ctx_.settings.platform.report_s;
  assign_partitions();
  finish_jobs();
  if (now >= next_sum_) {
    next_sum_ = now + report / 10;
    sum_up(statuses);
    refresh_quotas();
  }
  // Whom to rent for changes slowly beside the tick.
  if (fleet_.wants_waiting())
    fleet_.tick(statuses, waiting(), suspect_partitions(), unreachable_zones());
  else
    fleet_.tick(statuses, {}, suspect_partitions(), unreachable_zones());
  // Those that found no room are looked at again in turn: a part of them with each tick.
  std::set<std::string> turn;
  auto from = replica_.waiting_jobs.upper_bound(last_routed_);
  const size_t part = std::max<size_t>(kTurnJobs, replica_.waiting_jobs.size() / kTurnsPerReroute);
  for (; from != replica_.waiting_jobs.end() && turn.size() < part; ++from) turn.insert(*from);
  last_routed_ = from == replica_.waiting_jobs.end() ? "" : *turn.rbegin();
  route(turn);
  send_routes();
}

}  // namespace rooksill::leader
