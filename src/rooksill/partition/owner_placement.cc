// Placement inside the partitions that this controller holds.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/changes/task_change.h"
#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/quota/quota_shares.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::partition {

using changes::TaskChange;

namespace {
// Part of an ordinary machine that work which may use cheap machines leaves to work which may not.
constexpr double kOrdinaryReserve = 0.1;
constexpr double kHopeless = 1e6;  // s by which a job that can meet no limit stands back
constexpr int kMaxEvictions = 64;  // machines made room on in one pass
// What arrays may stop to make room, in tasks for each write: it takes writes to stop and place
// anew.
constexpr double kStopsPerWrite = 0.5, kStopsSaved = 2;
constexpr double kOrdinaryStop = 5;  // what one counts that is not for urgent work
constexpr double kSlack = 1e-9;      // sums of fractions
constexpr double kPause = 0.025;     // s between two passes; longer, the more waits
constexpr double kSlowedBy = 200;    // waiting shards that double it
}  // namespace

// ---- room ----------------------------------------------------------------------------------

void PartitionOwner::forget_room(agent::Worker& w) {
  for (const auto& [team, used] : w.room.teams) {
    auto& all = quota_use_[{w.room.partition, team}];
    all.first -= used.first;
    all.second -= used.second;
  }
  w.room.teams.clear();
}

void PartitionOwner::work_out_room(agent::Worker& w) {
  w.room_stale = false;
  forget_room(w);
  placement::Room& room = w.room;
  room = placement::Room{};
  const model::Machine* m = replica_.machine(w.name);
  if (m == nullptr) return;
  room.partition = m->partition;
  room.spot = m->spot;
  room.zone = m->zone;
  auto type = replica_.types.find(m->type);
  if (type != replica_.types.end()) {
    room.type = &type->second;
    room.cpus = room.type->capacity.cpus;
    room.gpus = room.type->capacity.gpus;
    room.memory = room.type->capacity.memory_gb;
  }
  auto use = [&](const model::Job& job, double sign) {
    const model::JobSpec& s = job.spec;
    room.cpus -= sign * s.request.cpus;
    room.gpus -= sign * s.request.gpus;
    room.memory -= sign * s.request.memory_gb;
    auto& team = room.teams[s.team];
    team.first += sign * s.request.cpus;
    team.second += sign * s.request.gpus;
    if (sign < 0) {
      --room.tasks;
      return;
    }
    ++room.tasks;
    if (!w.images.contains(job.image) &&
        std::find(room.fetching.begin(), room.fetching.end(), job.image) == room.fetching.end())
      room.fetching.push_back(job.image);
  };
  const auto& placed = replica_.placed_on(w.name);
  for (const auto& ref : placed) {
    const model::Job& job = *replica_.job(ref.job);
    use(job, 1);
    auto e = evicted_.find(ref);
    const model::TaskState* t = replica_.task(ref);
    if (e != evicted_.end() && t != nullptr && e->second == t->attempt) {
      room.leaving_cpus += job.spec.request.cpus;
      room.leaving_gpus += job.spec.request.gpus;
      room.leaving_memory += job.spec.request.memory_gb;
    } else if (job.spec.shape !=
               model::Shape::kGang) {  // a gang makes no room: it goes whole or not
      room.cpus_by_priority[static_cast<size_t>(job.spec.priority)] += job.spec.request.cpus;
    }
  }
  std::set<model::TaskRef> ended;
  for (const auto& t : w.tasks) {
    const model::Job* job = replica_.job(t.task.job);
    const model::TaskState* s = replica_.task(t.task);
    if (job == nullptr || s == nullptr) continue;
    const bool here = s->machine == w.name && s->attempt == t.attempt;
    // What has ended uses nothing any more, though its result is not written yet. What should not
    // be there holds its room until it is gone.
    if (t.phase == wire::TaskPhase::kExited && here && placed.count(t.task) != 0) {
      use(*job, -1);
      ended.insert(t.task);
    } else if (t.phase != wire::TaskPhase::kExited && !here)
      use(*job, 1);
  }
  // One that has ended here and is to start here again is in the state already, and counts anew.
  for (const auto& ref : w.pending_placements)
    if (const model::Job* job = replica_.job(ref.job);
        job != nullptr && (placed.count(ref) == 0 || ended.count(ref) != 0))
      use(*job, 1);
  for (const auto& [team, used] : room.teams) {
    auto& all = quota_use_[{room.partition, team}];
    all.first += used.first;
    all.second += used.second;
  }
}

const placement::Room& PartitionOwner::room_of(agent::Worker& w) {
  if (w.room_stale) work_out_room(w);
  return w.room;
}

bool PartitionOwner::open(const agent::Worker& w) const {
  const bool heard =
      agent::seconds_silent(w, ctx_) < agent::kProbeReports * ctx_.settings.platform.report_s ||
      !w.probe.failed;
  return w.room.type != nullptr && w.reported && heard && !w.failures.faulty && !w.terminates_at &&
         !workers_.draining(w.name) && w.failures.avoid_until <= ctx_.now.steady;
}

std::vector<agent::Worker*> PartitionOwner::open_workers() {
  std::vector<agent::Worker*> out;
  for (auto& [name, w] : workers_) {
    room_of(w);
    if (open(w)) out.push_back(&w);
  }
  return out;
}

bool PartitionOwner::allowed(const model::JobSpec& s, const agent::Worker& w) const {
  const placement::Room& r = w.room;
  if (r.spot && !s.spot) return false;
  if (!s.zone.empty() && s.zone != r.zone) return false;
  return s.allows_type(r.type->name);
}

bool PartitionOwner::fits(const model::JobSpec& s, double cpus, double gpus, double memory) {
  return s.request.cpus <= cpus + kSlack && s.request.gpus <= gpus + kSlack &&
         s.request.memory_gb <= memory + kSlack;
}

double PartitionOwner::reserve(const model::JobSpec& s, const placement::Room& r) const {
  if (r.spot || !s.spot) return 0;
  // Work that saves and is gone before anybody's start is late need not leave room free.
  double soonest = std::numeric_limits<double>::infinity();
  for (const auto& o : ctx_.settings.platform.objectives)
    if (o.kind == "wait") soonest = std::min(soonest, o.within_s);
  // Nobody's start is that urgent, or the task needs nearly all of the machine: with room kept free
  // it would never run there.
  const double kept = kOrdinaryReserve * r.type->capacity.cpus;
  if (std::isinf(soonest) || s.request.cpus > r.type->capacity.cpus - kept) return 0;
  if (s.priority < model::Priority::kUrgent && s.checkpoint_s > 0 && s.save_s < 0.75 * soonest)
    return 0;
  return kept;
}

// What the team may use in the partition, less what is on its way to another one.
const model::QuotaShare& PartitionOwner::team_quota(const std::string& team, int partition) {
  auto [it, fresh] = shares_.try_emplace({partition, team});
  if (!fresh) return it->second;
  it->second = quota::quota_share(ctx_.settings, replica_, team, partition);
  const model::QuotaShare leaving = transfers_.leaving(team, partition);
  it->second.cpus -= leaving.cpus;
  it->second.gpus -= leaving.gpus;
  return it->second;
}

bool PartitionOwner::within_quota(const model::JobSpec& s, int partition) {
  const auto& used = quota_use_[{partition, s.team}];
  const model::QuotaShare& share = team_quota(s.team, partition);
  return used.first + s.request.cpus <= share.cpus + kSlack &&
         used.second + s.request.gpus <= share.gpus + kSlack;
}

// Whether what the team has in the machine's partition, with what is placed there, is too much
// already.
bool PartitionOwner::exceeds_quota(const std::string& team, agent::Worker& w) {
  room_of(w);
  const auto& used = quota_use_[{w.partition, team}];
  const model::QuotaShare& share = team_quota(team, w.partition);
  return used.first > share.cpus + kSlack || used.second > share.gpus + kSlack;
}

// How many more tasks of this kind a machine takes.
uint32_t PartitionOwner::slots(const model::JobSpec& s, const agent::Worker& w) {
  const placement::Room& r = w.room;
  const double kept = reserve(s, r);
  double n = 1e6;
  auto part = [&](double have, double need) {
    if (need > 0) n = std::min(n, std::floor((have + kSlack) / need));
  };
  const auto aside = set_aside_.find(&w);
  const Unmet taken = aside == set_aside_.end() ? Unmet{} : aside->second;
  part(r.cpus - kept - taken.cpus, s.request.cpus);
  part(r.gpus - taken.gpus, s.request.gpus);
  part(r.memory - taken.memory, s.request.memory_gb);
  if (n < 1) return 0;
  const auto& used = quota_use_[{r.partition, s.team}];
  const model::QuotaShare& share = team_quota(s.team, r.partition);
  part(share.cpus - used.first, s.request.cpus);
  part(share.gpus - used.second, s.request.gpus);
  return n < 1 ? 0 : static_cast<uint32_t>(n);
}

// The smaller, the better a place.
double PartitionOwner::score(const model::Job& job, const agent::Worker& w) const {
  const model::JobSpec& s = job.spec;
  const placement::Room& r = w.room;
  double out = 0;
  // An image that is there already starts at once; one on its way costs its share of the wait.
  if (!w.images.contains(job.image)) {
    // Images fetched at the same time share the rate, so those waiting for one go together.
    const double fetch = s.image_gb / std::max(0.01, r.type->fetch_gb_per_s);
    const bool coming =
        std::find(r.fetching.begin(), r.fetching.end(), job.image) != r.fetching.end();
    const double others = static_cast<double>(r.fetching.size()) - (coming ? 1 : 0);
    out += 100 * (1 + fetch * (coming ? 0.5 : 1) * (1 + others));
  }
  if (s.spot && !r.spot) out += 300;
  auto trouble = troubles_.find(s.id);
  if (trouble != troubles_.end() && trouble->second.machines.count(w.name) != 0) out += 1e6;
  const double price = r.spot ? r.type->spot_price : r.type->price;
  if (r.type->capacity.cpus > 0) {
    out += 50 * price / r.type->capacity.cpus / cheapest_;
    out += 10 * r.cpus / r.type->capacity.cpus;  // fill the fuller machine, so that others empty
  }
  return out;
}

// ---- making room ---------------------------------------------------------------------------

// Makes room for so many tasks by stopping work of lower priority. Says for how many of them room
// is on its way, also from what was stopped before.
uint32_t PartitionOwner::make_room(const model::Job& job, uint32_t count,
                                   const std::vector<agent::Worker*>& workers,
                                   const std::map<std::string, uint32_t>& zones,
                                   const std::string& only_zone, bool only_cached) {
  const model::JobSpec& s = job.spec;
  std::map<std::string, uint32_t> in_zone = zones;
  uint32_t made = 0;
  const bool array = s.shape == model::Shape::kArray;
  const double stop = s.priority >= model::Priority::kUrgent ? 1 : kOrdinaryStop;
  auto usable = [&](const agent::Worker& w) {
    if (!allowed(s, w) || (!only_zone.empty() && w.room.zone != only_zone)) return false;
    if (s.spread && in_zone[w.room.zone] >= s.most_in_zone()) return false;
    if (only_cached && !w.images.contains(job.image)) return false;
    return within_quota(s, w.room.partition);
  };
  auto lower = [&](const placement::Room& r) {
    double sum = 0;
    for (size_t p = 0; p < static_cast<size_t>(s.priority); ++p) sum += r.cpus_by_priority[p];
    return sum;
  };
  // First what is being stopped already, as far as nobody before in this pass counts on it.
  for (agent::Worker* w : workers) {
    if (made >= count) return made;
    const placement::Room& r = w->room;
    if (r.leaving_cpus <= 0 && r.leaving_memory <= 0) continue;
    Unmet& taken = promised_[w];
    while (made < count && usable(*w) &&
           fits(s, r.cpus + r.leaving_cpus - reserve(s, r) - taken.cpus,
                r.gpus + r.leaving_gpus - taken.gpus, r.memory + r.leaving_memory - taken.memory)) {
      taken.cpus += s.request.cpus;
      taken.gpus += s.request.gpus;
      taken.memory += s.request.memory_gb;
      ++in_zone[r.zone];
      ++made;
    }
  }
  std::vector<std::pair<double, agent::Worker*>> options;
  for (agent::Worker* w : workers) {
    const placement::Room& r = w->room;
    if (lower(r) <= 0 || !usable(*w)) continue;
    // Without the room that is kept free there, or it would be made again and again for nobody.
    if (r.cpus + r.leaving_cpus + lower(r) - reserve(s, r) + kSlack < s.request.cpus) continue;
    // Where little has to go, and of the lowest priority.
    const double lowest = r.cpus_by_priority[0];
    const double missing = std::max(0.0, s.request.cpus - r.cpus - r.leaving_cpus);
    options.emplace_back(missing + (lowest < missing ? 1e3 : 0), w);
  }
  std::sort(options.begin(), options.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->name < b.second->name;
  });
  for (const auto& [cost, w] : options) {
    if (made >= count || evictions_ >= kMaxEvictions || (array && stops_left_ < stop)) break;
    if (!usable(*w)) continue;
    Unmet& taken = promised_[w];
    std::vector<std::pair<model::Priority, model::TaskRef>> lowers;
    for (const auto& ref : replica_.placed_on(w->name)) {
      const model::JobSpec& other = replica_.job(ref.job)->spec;
      if (other.priority < s.priority && other.shape != model::Shape::kGang &&
          evicted_.count(ref) == 0)
        lowers.emplace_back(other.priority, ref);
    }
    std::sort(lowers.begin(), lowers.end());
    auto victim = lowers.begin();
    bool stopped = false;
    while (made < count && usable(*w)) {
      const placement::Room& r = w->room;
      double cpus = r.cpus + r.leaving_cpus - reserve(s, r) - taken.cpus,
             gpus = r.gpus + r.leaving_gpus - taken.gpus,
             memory = r.memory + r.leaving_memory - taken.memory;
      auto until = victim;
      for (; until != lowers.end() && !fits(s, cpus, gpus, memory); ++until) {
        const model::JobSpec& other = replica_.job(until->second.job)->spec;
        cpus += other.request.cpus;
        gpus += other.request.gpus;
        memory += other.request.memory_gb;
      }
      if (!fits(s, cpus, gpus, memory)) break;
      for (; victim != until; ++victim) {
        const model::TaskRef& ref = victim->second;
        ctx_.debug("placer", "task {} on {} is stopped to make room for {}", wire::task_name(ref),
                   w->name, s.id);
        ctx_.count("tasks_stopped");
        if (array) stops_left_ -= stop;
        evicted_[ref] = replica_.task(ref)->attempt;
        stopped = true;
      }
      taken.cpus += s.request.cpus;
      taken.gpus += s.request.gpus;
      taken.memory += s.request.memory_gb;
      ++in_zone[r.zone];
      ++made;
      if (stopped) work_out_room(*w);
    }
    if (stopped) {
      ++evictions_;
      workers_.mark_changed(*w);
      work_out_room(*w);
    }
  }
  return made;
}

// ---- order of work -------------------------------------------------------------------------

// When a job should be done: the first of its class's limits that it can still meet. What can meet
// none comes after everything that can.
double PartitionOwner::due_time(const model::Job& job) const {
  const model::JobSpec& s = job.spec;
  const double now = ctx_.now.wall;
  double due = std::numeric_limits<double>::infinity(), last = 0;
  for (const auto& o : ctx_.settings.platform.objectives) {
    if (o.job_class != s.job_class) continue;
    double at = 0;
    if (o.kind == "deadline" && s.deadline_s)
      at = job.submitted + *s.deadline_s * o.times;
    else if (o.kind == "finished")
      at = job.submitted + o.within_s;
    else
      continue;
    last = std::max(last, at);
    if (at - s.estimate_s >= now) due = std::min(due, at);
  }
  if (last == 0) return job.submitted + s.deadline_s.value_or(4 * s.estimate_s);
  return std::isinf(due) ? last + kHopeless : due;
}

void PartitionOwner::place() {
  if (!placement_requested_ || ctx_.now.steady < next_place_) return;
  placement_requested_ = false;
  if (owned_.empty() || routed_.empty()) return;
  std::vector<Candidate> waiting;
  for (auto it = routed_.begin(); it != routed_.end();) {
    const model::Job* job = replica_.job(it->job);
    if (job != nullptr && (job->over() || it->index >= job->shards.size())) {
      it = routed_.erase(it);
      continue;
    }
    if (job != nullptr) {
      const model::TaskShard& c = job->shards[it->index];
      const bool ended = changes_.find_shard(*it) != nullptr;  // and may have a place to find anew
      if ((ended || c.done + c.placed < c.tasks.size()) && !backing_off(it->job))
        waiting.push_back({job, it->index, due_time(*job)});
    }
    ++it;
  }
  if (waiting.empty()) return;
  next_place_ = ctx_.now.steady + kPause * (1 + static_cast<double>(waiting.size()) / kSlowedBy);
  std::sort(waiting.begin(), waiting.end(), [](const Candidate& a, const Candidate& b) {
    if (a.job->spec.priority != b.job->spec.priority)
      return a.job->spec.priority > b.job->spec.priority;
    if (a.due != b.due) return a.due < b.due;
    return std::pair(a.job->spec.id, a.shard) < std::pair(b.job->spec.id, b.shard);
  });
  cheapest_ = std::numeric_limits<double>::infinity();
  for (const auto& [name, t] : replica_.types)
    if (t.capacity.cpus > 0) cheapest_ = std::min(cheapest_, t.price / t.capacity.cpus);
  if (!(cheapest_ > 0)) cheapest_ = 1;
  shares_.clear();
  unmet_.clear();
  promised_.clear();
  set_aside_.clear();
  evictions_ = 0;
  const double stops = kStopsPerWrite * client_.writes_per_s();
  stops_left_ = std::min(kStopsSaved * stops,
                         stops_left_ + stops * std::max(0.0, ctx_.now.steady - stops_at_));
  stops_at_ = ctx_.now.steady;
  const auto workers = open_workers();
  for (const auto& c : waiting)
    if (c.job->spec.shape == model::Shape::kGang)
      place_gang(c, workers);
    else if (changes_.may_decide(*c.job, c.shard))
      place_shard(c, workers);
}

void PartitionOwner::place_shard(const Candidate& c, const std::vector<agent::Worker*>& workers) {
  const model::Job& job = *c.job;
  const model::JobSpec& s = job.spec;
  const model::TaskShard& shard = job.shards[c.shard];
  // Where no smaller need was met, this one will not be. Looked at before anything else: of a long
  // queue nearly all shards end here.
  const bool plain = s.zone.empty() && s.types.empty() && !s.spread && !s.one_zone;
  const int kind =
      (s.spot ? 1 : 0) + (s.checkpoint_s > 0 ? 2 : 0) + 4 * static_cast<int>(s.priority);
  auto known = unmet_.find(kind);
  if (plain && known != unmet_.end() && s.request.cpus >= known->second.cpus &&
      s.request.gpus >= known->second.gpus && s.request.memory_gb >= known->second.memory)
    return;
  // Tasks of one shard are alike: all of them look for places at once.
  std::vector<uint32_t> todo;
  const changes::ShardChanges* pending = changes_.find_shard({s.id, c.shard});
  for (uint32_t i = 0; i < shard.tasks.size(); ++i) {
    const model::TaskState& t = shard.tasks[i];
    const TaskChange* change = pending == nullptr ? nullptr : pending->find(i);
    if (change != nullptr) {
      // Ended elsewhere, and not written yet: it may get its next place with the same change.
      if (change->kind == TaskChange::Kind::kLost && !pending->in_flight()) todo.push_back(i);
    } else if (replica_.waits(t) && (t.machine.empty() || replica_.lists_cover(shard))) {
      todo.push_back(i);
    }
  }
  if (todo.empty()) return;
  std::map<std::string, uint32_t> zones;
  std::string only_zone;
  if (s.spread || s.one_zone) {
    auto count = [&](const std::string& machine) {
      const model::Machine* m = replica_.machine(machine);
      if (m == nullptr) return;
      ++zones[m->zone];
      if (s.one_zone) only_zone = m->zone;
    };
    for (uint32_t k = 0; k < job.shards.size(); ++k) {
      const changes::ShardChanges* changes_there = changes_.find_shard({s.id, k});
      const auto& tasks = job.shards[k].tasks;
      for (uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].machine.empty()) continue;
        // What has ended there is there no more, though that is not written yet.
        auto ended = [&](const std::map<uint32_t, TaskChange>& changes) {
          auto it = changes.find(i);
          return it != changes.end() && it->second.kind == TaskChange::Kind::kLost;
        };
        if (changes_there != nullptr && ended(changes_there->waiting())) continue;
        // A machine that is in no list here may have been dealt since the lists were known, and its
        // zone is not known then: others' shards come faster than the watch.
        if (replica_.machine_gone(tasks[i].machine) && !replica_.lists_cover(job.shards[k])) return;
        count(tasks[i].machine);
      }
      if (changes_there == nullptr) continue;
      for (const auto* changes : {&changes_there->waiting(), &changes_there->sent()})
        for (const auto& [i, change] : *changes)
          if (change.kind == TaskChange::Kind::kPlaced) count(change.machine.name);
    }
    if (s.one_zone && only_zone.empty()) {
      // All of them must come to fit: take the zone with the most room for this job.
      std::map<std::string, uint64_t> room;
      for (const agent::Worker* w : workers)
        if (allowed(s, *w)) room[w->room.zone] += slots(s, *w);
      uint64_t most = 0;
      for (const auto& [z, n] : room)
        if (n > most) {
          most = n;
          only_zone = z;
        }
    }
  }
  const uint32_t most_in_zone = s.most_in_zone();
  auto zone_left = [&](const std::string& zone) {
    if (!only_zone.empty() && zone != only_zone) return uint32_t{0};
    if (!s.spread) return s.tasks;
    const uint32_t there = zones[zone];
    return there >= most_in_zone ? 0 : most_in_zone - there;
  };
  std::vector<std::pair<double, agent::Worker*>> places;
  for (agent::Worker* w : workers)
    if (allowed(s, *w) && zone_left(w->room.zone) > 0 && slots(s, *w) > 0)
      places.emplace_back(score(job, *w), w);
  std::sort(places.begin(), places.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->name < b.second->name;
  });
  const bool quick = s.shape == model::Shape::kService && s.priority == model::Priority::kProd;
  size_t next = 0;
  bool asked = false;
  for (const auto& [score_there, w] : places) {
    if (next >= todo.size()) break;
    // A replica that would wait for its image starts sooner where lower work makes room for it.
    if (quick && !asked && !w->images.contains(job.image)) {
      asked = true;
      const auto left = static_cast<uint32_t>(todo.size() - next);
      const uint32_t made = make_room(job, left, workers, zones, only_zone, true);
      todo.resize(todo.size() - made);
      if (next >= todo.size()) return;
    }
    const uint32_t here = std::min(
        {slots(s, *w), zone_left(w->room.zone), static_cast<uint32_t>(todo.size() - next)});
    for (uint32_t k = 0; k < here; ++k) {
      const uint32_t i = todo[next++];
      const uint64_t attempt = shard.tasks[i].attempt + 1;
      const model::TaskRef ref{s.id, c.shard * job.tasks_per_shard + i};
      changes_.add(ref, TaskChange::placed(w->name, w->room.partition, attempt));
      ctx_.debug("placer", "task {} attempt {} goes to {} after {:.2f} s{}", wire::task_name(ref),
                 attempt, w->name, ctx_.now.wall - job.submitted,
                 w->images.contains(job.image) ? "" : ", image not there");
    }
    if (here == 0) continue;
    zones[w->room.zone] += here;
    work_out_room(*w);
  }
  if (next >= todo.size()) return;
  const auto left = static_cast<uint32_t>(todo.size() - next);
  if (s.priority > model::Priority::kIdle && evictions_ < kMaxEvictions)
    if (make_room(job, left, workers, zones, only_zone, false) >= left) return;
  if (!plain) return;
  const bool smaller = known == unmet_.end() || (s.request.cpus <= known->second.cpus &&
                                                 s.request.gpus <= known->second.gpus &&
                                                 s.request.memory_gb <= known->second.memory);
  if (smaller) unmet_[kind] = {s.request.cpus, s.request.gpus, s.request.memory_gb};
}

}  // namespace rooksill::partition
