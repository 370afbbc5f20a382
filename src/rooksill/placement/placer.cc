// Placement inside the blocks that this controller holds.
#include <algorithm>
#include <cmath>
#include <limits>

#include "rooksill/core/codec.h"
#include "rooksill/core/holder.h"
#include "rooksill/placement/grants.h"

namespace rooksill::core {

namespace {
// Part of an ordinary machine that work which may use cheap machines leaves to work which may not.
constexpr double kOrdinaryReserve = 0.1;
constexpr double kHopeless = 1e6;  // s by which a job that can meet no limit stands back
constexpr int kMaxEvictions = 32;  // jobs made room for in one pass

bool cached(const Worker& w, const std::string& image) {
  return std::any_of(w.images.begin(), w.images.end(),
                     [&](const auto& i) { return i.first == image; });
}

}  // namespace

std::map<std::string, Holder::Room> Holder::rooms() {
  std::map<std::string, Room> out;
  const double probe_age = 1.15 * ctx_.settings.platform.report_s;
  team_use_.clear();
  auto use = [&](Room& room, const JobSpec& s) {
    room.cpus -= s.cpus;
    room.gpus -= s.gpus;
    room.memory -= s.memory_gb;
    ++room.tasks;
    if (!cached(*room.worker, s.image)) room.fetching.insert(s.image);
    auto& team = team_use_[{room.machine->block, s.team}];
    team.first += s.cpus;
    team.second += s.gpus;
  };
  for (auto& [name, w] : workers_) {
    const Machine* m = replica_.machine(name);
    if (m == nullptr) continue;
    Room room;
    room.worker = &w;
    room.machine = m;
    auto type = replica_.types.find(m->type);
    if (type != replica_.types.end()) {
      room.type = &type->second;
      room.cpus = room.type->cpus;
      room.gpus = room.type->gpus;
      room.memory = room.type->memory_gb;
    }
    for (const auto& ref : replica_.placed_on(name)) use(room, replica_.job(ref.job)->spec);
    // Tasks that should not be there hold their room until they are gone.
    for (const auto& t : w.tasks) {
      const TaskState* s = replica_.task(t.task);
      if (t.phase == worker::Phase::kExited || s == nullptr) continue;
      if (s->machine != name || s->attempt != t.attempt) use(room, replica_.job(t.task.job)->spec);
    }
    const bool heard = ctx_.now.steady - w.last_heard < probe_age || !w.probe_failed;
    room.open = room.type != nullptr && w.reported && heard && !w.bad && !w.notice_until &&
                drain_.count(name) == 0 && w.avoid_until <= ctx_.now.steady;
    out.emplace(name, room);
  }
  for (const auto& [id, work] : work_) {
    const Job* job = replica_.job(id.first);
    for (const auto* changes : {&work.waiting, &work.sent})
      for (const auto& [i, c] : *changes)
        if (c.kind == Change::Kind::kPlace && job != nullptr) {
          auto it = out.find(c.machine);
          if (it != out.end() && job->chunks[id.second].tasks[i].machine != c.machine)
            use(it->second, job->spec);
        }
  }
  return out;
}

bool Holder::allowed(const JobSpec& s, const Room& r) const {
  if (!r.open) return false;
  if (r.machine->spot && !s.spot) return false;
  if (!s.zone.empty() && s.zone != r.machine->zone) return false;
  return s.types.empty() ||
         std::find(s.types.begin(), s.types.end(), r.machine->type) != s.types.end();
}

bool Holder::fits(const JobSpec& s, const Room& r) {
  constexpr double kSlack = 1e-9;
  return s.cpus <= r.cpus + kSlack && s.gpus <= r.gpus + kSlack && s.memory_gb <= r.memory + kSlack;
}

double Holder::reserve(const JobSpec& s, const Room& r) const {
  if (r.machine->spot) return 0;
  // Work that saves and is gone before anybody's start is late need not leave room free.
  double soonest = std::numeric_limits<double>::infinity();
  for (const auto& o : ctx_.settings.platform.objectives)
    if (o.kind == "wait") soonest = std::min(soonest, o.within_s);
  if (s.priority < Priority::kUrgent && s.checkpoint_s > 0 && s.save_s < 0.75 * soonest) return 0;
  return kOrdinaryReserve * r.type->cpus;
}

bool Holder::within_limit(const JobSpec& s, int block) {
  const auto& p = ctx_.settings.platform;
  auto team = p.teams.find(s.team);
  if (team == p.teams.end()) return false;
  double biggest_gpus = 0;
  for (const auto& [n, t] : replica_.types) biggest_gpus = std::max(biggest_gpus, t.gpus);
  const auto& used = team_use_[{block, s.team}];
  const int blocks = static_cast<int>(replica_.leases.size());
  return used.first + s.cpus <=
             placement::granted_cpus(ctx_.settings, replica_.types, s.team, block, blocks) + 1e-9 &&
         used.second + s.gpus <=
             placement::granted(team->second.gpus_max, 2 * biggest_gpus, s.team, block, blocks) +
                 1e-9;
}

Holder::Room* Holder::choose(const Job& job, std::map<std::string, Room>& rooms,
                             const std::map<std::string, uint32_t>& zones,
                             const std::string& only_zone) {
  const JobSpec& s = job.spec;
  const uint32_t most_in_zone = (s.tasks + 1) / 2;
  auto trouble = troubles_.find(s.id);
  double cheapest = std::numeric_limits<double>::infinity();
  for (const auto& [name, t] : replica_.types)
    if (t.cpus > 0) cheapest = std::min(cheapest, t.price / t.cpus);
  if (!(cheapest > 0)) cheapest = 1;
  Room* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  for (auto& [name, r] : rooms) {
    if (!allowed(s, r) || !fits(s, r)) continue;
    if (!only_zone.empty() && r.machine->zone != only_zone) continue;
    if (s.spread) {
      auto z = zones.find(r.machine->zone);
      if (z != zones.end() && z->second >= most_in_zone) continue;
    }
    if (s.spot && r.cpus - s.cpus < reserve(s, r)) continue;
    if (!within_limit(s, r.machine->block)) continue;
    double score = 0;
    // An image that is there already starts at once; one on its way costs its share of the wait.
    if (!cached(*r.worker, s.image)) {
      // Images fetched at the same time share the rate, so those waiting for one go together.
      const double fetch = s.image_gb / std::max(0.01, r.type->fetch_gb_per_s);
      const bool coming = r.fetching.count(s.image) != 0;
      const double others = static_cast<double>(r.fetching.size()) - (coming ? 1 : 0);
      score += 100 * (1 + fetch * (coming ? 0.5 : 1) * (1 + others));
    }
    if (s.spot && !r.machine->spot) score += 300;
    if (trouble != troubles_.end() && trouble->second.machines.count(name) != 0) score += 1e6;
    const double price = r.machine->spot ? r.type->spot_price : r.type->price;
    if (r.type->cpus > 0) score += 50 * price / r.type->cpus / cheapest;
    score += 10 * r.cpus / r.type->cpus;  // fill the fuller machine, so that others empty
    if (score < best_score) {
      best_score = score;
      best = &r;
    }
  }
  return best;
}

// Makes room for work of higher priority by stopping work of lower priority on one machine.
bool Holder::preempt(const Job& job, std::map<std::string, Room>& rooms,
                     const std::map<std::string, uint32_t>& zones, const std::string& only_zone,
                     bool only_cached) {
  const JobSpec& s = job.spec;
  const uint32_t most_in_zone = (s.tasks + 1) / 2;
  std::vector<TaskRef> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (auto& [name, r] : rooms) {
    if (!allowed(s, r) || (!only_zone.empty() && r.machine->zone != only_zone)) continue;
    if (s.spread) {
      auto z = zones.find(r.machine->zone);
      if (z != zones.end() && z->second >= most_in_zone) continue;
    }
    if (!within_limit(s, r.machine->block)) continue;
    if (only_cached && !cached(*r.worker, s.image)) continue;
    Room after = r;
    std::vector<std::pair<Priority, TaskRef>> lower;
    for (const auto& ref : replica_.placed_on(name)) {
      const JobSpec& other = replica_.job(ref.job)->spec;
      if (evicted_.count(ref) != 0) {  // on its way out already
        after.cpus += other.cpus;
        after.gpus += other.gpus;
        after.memory += other.memory_gb;
      } else if (other.priority < s.priority) {
        lower.emplace_back(other.priority, ref);
      }
    }
    if (fits(s, after)) return true;  // enough is being stopped
    std::sort(lower.begin(), lower.end());
    std::vector<TaskRef> victims;
    double cost = 0;
    for (const auto& [priority, ref] : lower) {
      if (fits(s, after)) break;
      const JobSpec& other = replica_.job(ref.job)->spec;
      after.cpus += other.cpus;
      after.gpus += other.gpus;
      after.memory += other.memory_gb;
      cost += (1 + static_cast<double>(priority)) * (other.checkpoint_s > 0 ? 1 : 3);
      victims.push_back(ref);
    }
    if (!fits(s, after) || victims.empty() || cost >= best_cost) continue;
    best_cost = cost;
    best = std::move(victims);
  }
  for (const auto& ref : best) {
    const TaskState* t = replica_.task(ref);
    ctx_.info("placer", "task {} on {} is stopped to make room for {}", task_name(ref), t->machine,
              s.id);
    evicted_[ref] = t->attempt;
  }
  return !best.empty();
}

// When a job should be done: the first of its class's limits that it can still meet. What can meet
// none comes after everything that can.
double Holder::due_time(const Job& job) const {
  const JobSpec& s = job.spec;
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

// A gang's tasks wait for one another: none is placed before all that wait have room.
bool Holder::fits_whole(const Job& job, std::map<std::string, Room> rooms,
                        std::map<std::string, uint32_t> zones, const std::string& only_zone) {
  for (uint32_t i = 0; i < job.spec.tasks; ++i) {
    const TaskRef ref{job.spec.id, i};
    if (!replica_.waits(*replica_.task(ref)) || changing(ref)) continue;
    Room* r = choose(job, rooms, zones, only_zone);
    if (r == nullptr) return false;
    r->cpus -= job.spec.cpus;
    r->gpus -= job.spec.gpus;
    r->memory -= job.spec.memory_gb;
    ++zones[r->machine->zone];
  }
  return true;
}

void Holder::place() {
  if (held_.empty() || routed_.empty()) return;
  struct Candidate {
    const Job* job;
    uint32_t chunk;
    double due;
  };
  std::vector<Candidate> waiting;
  for (auto it = routed_.begin(); it != routed_.end();) {
    const Job* job = replica_.job(it->first);
    if (job != nullptr && (job->over() || it->second >= job->chunks.size())) {
      it = routed_.erase(it);
      continue;
    }
    if (job != nullptr) {
      const Chunk& c = job->chunks[it->second];
      if (c.done + c.placed < c.tasks.size() && !backing_off(it->first)) {
        waiting.push_back({job, it->second, due_time(*job)});
      }
    }
    ++it;
  }
  if (waiting.empty()) return;
  std::sort(waiting.begin(), waiting.end(), [](const Candidate& a, const Candidate& b) {
    if (a.job->spec.priority != b.job->spec.priority)
      return a.job->spec.priority > b.job->spec.priority;
    if (a.due != b.due) return a.due < b.due;
    return std::pair(a.job->spec.id, a.chunk) < std::pair(b.job->spec.id, b.chunk);
  });
  auto room = rooms();
  int evictions = 0;
  for (const auto& c : waiting) {
    const Job& job = *c.job;
    const JobSpec& s = job.spec;
    std::map<std::string, uint32_t> zones;
    std::string only_zone;
    if (s.spread || s.one_zone) {
      auto count = [&](const std::string& machine) {
        const Machine* m = replica_.machine(machine);
        if (m == nullptr) return;
        ++zones[m->zone];
        if (s.one_zone) only_zone = m->zone;
      };
      for (const auto& chunk : job.chunks)
        for (const auto& t : chunk.tasks)
          if (!t.machine.empty()) count(t.machine);
      for (uint32_t k = 0; k < job.chunks.size(); ++k) {
        auto work = work_.find({s.id, k});
        if (work == work_.end()) continue;
        for (const auto* changes : {&work->second.waiting, &work->second.sent})
          for (const auto& [i, change] : *changes)
            if (change.kind == Change::Kind::kPlace) count(change.machine);
      }
      if (s.one_zone && only_zone.empty()) {
        // All of them must come to fit: take the zone with the most room for this job.
        std::map<std::string, double> slots;
        for (auto& [name, r] : room)
          if (allowed(s, r) && s.cpus > 0) slots[r.machine->zone] += std::max(0.0, r.cpus / s.cpus);
        double most = 0;
        for (const auto& [z, n] : slots)
          if (n > most) {
            most = n;
            only_zone = z;
          }
      }
    }
    if (s.shape == Shape::kGang && !fits_whole(job, room, zones, only_zone)) continue;
    const Chunk& chunk = job.chunks[c.chunk];
    for (uint32_t i = 0; i < chunk.tasks.size(); ++i) {
      const TaskState& t = chunk.tasks[i];
      const TaskRef ref{s.id, c.chunk * kChunkTasks + i};
      if (!replica_.waits(t) || changing(ref)) continue;
      Room* r = choose(job, room, zones, only_zone);
      if (r == nullptr) {
        if (s.priority > Priority::kIdle && evictions < kMaxEvictions) {
          preempt(job, room, zones, only_zone, false);
          ++evictions;
        }
        break;
      }
      // A replica that would wait for its image starts sooner where lower work makes room for it.
      if (s.shape == Shape::kService && s.priority == Priority::kProd &&
          !cached(*r->worker, s.image) && evictions < kMaxEvictions &&
          preempt(job, room, zones, only_zone, true)) {
        ++evictions;
        break;
      }
      r->cpus -= s.cpus;
      r->gpus -= s.gpus;
      r->memory -= s.memory_gb;
      ++r->tasks;
      if (!cached(*r->worker, s.image)) r->fetching.insert(s.image);
      auto& used = team_use_[{r->machine->block, s.team}];
      used.first += s.cpus;
      used.second += s.gpus;
      ++zones[r->machine->zone];
      if (s.one_zone) only_zone = r->machine->zone;
      change(ref, {Change::Kind::kPlace, r->machine->name, t.attempt + 1, r->machine->block,
                   basis(job, r->machine->block)});
      ctx_.debug("placer", "task {} attempt {} goes to {} after {:.2f} s{}", task_name(ref),
                 t.attempt + 1, r->machine->name, ctx_.now.wall - job.submitted,
                 cached(*r->worker, s.image) ? "" : ", image not there");
    }
  }
}

}  // namespace rooksill::core
