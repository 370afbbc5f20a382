#include "rooksill/core/replica.h"

#include <charconv>

namespace rooksill::core {

size_t chunk_count(const JobSpec& spec) { return (spec.tasks + kChunkTasks - 1) / kChunkTasks; }

size_t chunk_size(const JobSpec& spec, uint32_t chunk) {
  return std::min<size_t>(kChunkTasks, spec.tasks - chunk * kChunkTasks);
}

Replica::Replica(int blocks)
    : leases(static_cast<size_t>(blocks)), machine_stamps(static_cast<size_t>(blocks)) {}

Job* Replica::job(const std::string& id) {
  auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : &it->second;
}
const Job* Replica::job(const std::string& id) const {
  auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : &it->second;
}
const Machine* Replica::machine(const std::string& name) const {
  auto it = machines.find(name);
  return it == machines.end() ? nullptr : &it->second;
}
const TaskState* Replica::task(const TaskRef& t) const {
  const Job* j = job(t.job);
  if (j == nullptr || t.index >= j->spec.tasks) return nullptr;
  return &j->chunks[t.index / kChunkTasks].tasks[t.index % kChunkTasks];
}
const std::set<TaskRef>& Replica::placed_on(const std::string& machine) const {
  static const std::set<TaskRef> kNone;
  auto it = placed_on_.find(machine);
  return it == placed_on_.end() ? kNone : it->second;
}

bool Replica::apply(const std::string& key, const nlohmann::json& value, uint64_t stamp) {
  if (key.compare(0, kPrefix.size(), kPrefix) != 0) return false;
  const std::string rest = key.substr(kPrefix.size());
  if (rest == "lead") {
    if (stamp <= leader.stamp || !value.is_object()) return false;
    leader.stamp = stamp;
    leader.label = value.value("h", "");
    leader.incarnation = value.value("i", uint64_t{0});
    leader.term = value.value("t", uint64_t{0});
    return true;
  }
  if (rest == "term") {
    if (stamp <= term_stamp || !value.is_object()) return false;
    term_stamp = stamp;
    term = value.value("t", uint64_t{0});
    return true;
  }
  if (rest.size() < 3 || rest[1] != '/') return false;
  const std::string name = rest.substr(2);
  auto block_of = [&]() -> int {
    int b = -1;
    std::from_chars(name.data(), name.data() + name.size(), b);
    return b >= 0 && static_cast<size_t>(b) < leases.size() ? b : -1;
  };
  switch (rest[0]) {
    case 'j': {
      Job fresh;
      auto it = jobs.find(name);
      if (it != jobs.end()) {
        if (stamp <= it->second.stamp) return false;
        // Only the end of a job changes after its creation.
        if (!decode_job(value, fresh)) return false;
        it->second.stamp = stamp;
        it->second.end = fresh.end;
      } else {
        if (!decode_job(value, fresh) || fresh.spec.id != name) return false;
        fresh.stamp = stamp;
        fresh.chunks.resize(chunk_count(fresh.spec));
        for (uint32_t c = 0; c < fresh.chunks.size(); ++c)
          fresh.chunks[c].tasks.resize(chunk_size(fresh.spec, c));
        it = jobs.emplace(name, std::move(fresh)).first;
      }
      if (it->second.over())
        open_jobs.erase(name);
      else
        open_jobs.insert(name);
      touched_jobs.insert(name);
      return true;
    }
    case 't': {
      auto slash = name.rfind('/');
      if (slash == std::string::npos) return false;
      Job* j = job(name.substr(0, slash));
      uint32_t index = 0;
      std::from_chars(name.data() + slash + 1, name.data() + name.size(), index);
      if (j == nullptr || index >= j->chunks.size()) return false;
      if (stamp <= j->chunks[index].stamp) return false;
      std::vector<TaskState> tasks;
      if (!decode_chunk(value, chunk_size(j->spec, index), tasks)) return false;
      apply_chunk(*j, index, std::move(tasks), stamp);
      return true;
    }
    case 'l': {
      int b = block_of();
      if (b < 0) return false;
      auto& lease = leases[static_cast<size_t>(b)];
      BlockLease fresh;
      if (stamp <= lease.stamp || !decode_lease(value, fresh)) return false;
      fresh.stamp = stamp;
      lease = fresh;
      return true;
    }
    case 'm': {
      int b = block_of();
      if (b < 0 || stamp <= machine_stamps[static_cast<size_t>(b)]) return false;
      std::map<std::string, Machine> fresh;
      if (!decode_machines(value, b, fresh)) return false;
      machine_stamps[static_cast<size_t>(b)] = stamp;
      std::vector<std::string> changed;
      for (auto it = machines.begin(); it != machines.end();) {
        if (it->second.block == b && fresh.count(it->first) == 0) {
          changed.push_back(it->first);
          it = machines.erase(it);
        } else {
          ++it;
        }
      }
      for (auto& [n, m] : fresh)
        if (machines.emplace(n, m).second) changed.push_back(n);
      for (const auto& n : changed) {
        recount(n);
      }
      return true;
    }
    case 'c': {
      MachineType t;
      if (!decode_type(value, t)) return false;
      types[t.name] = t;
      return true;
    }
    default:
      return false;
  }
}

void Replica::apply_chunk(Job& j, uint32_t index, std::vector<TaskState> tasks, uint64_t stamp) {
  Chunk& c = j.chunks[index];
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const TaskState& was = c.tasks[i];
    const TaskState& is = tasks[i];
    if (was == is) continue;
    const TaskRef ref{j.spec.id, index * kChunkTasks + i};
    if (was.machine != is.machine) {
      if (!was.machine.empty()) {
        auto it = placed_on_.find(was.machine);
        if (it != placed_on_.end()) {
          it->second.erase(ref);
          if (it->second.empty()) placed_on_.erase(it);
        }
        if (!is.done && j.over()) events.push_back({TaskEvent::Kind::kLeft, ref.job, was.machine});
      }
      if (!is.machine.empty()) {
        placed_on_[is.machine].insert(ref);
        if (is.attempt == 1) events.push_back({TaskEvent::Kind::kFirstPlaced, ref.job, is.machine});
      }
    }
    if (is.done && !was.done) events.push_back({TaskEvent::Kind::kDone, ref.job, was.machine});
  }
  c.tasks = std::move(tasks);
  c.stamp = stamp;
  count(j, c);
  touched_jobs.insert(j.spec.id);
}

void Replica::count(Job& j, Chunk& c) {
  j.done -= c.done;
  j.placed -= c.placed;
  c.done = c.placed = 0;
  for (const auto& t : c.tasks) {
    if (t.done)
      ++c.done;
    else if (!waits(t))
      ++c.placed;
  }
  j.done += c.done;
  j.placed += c.placed;
}

// A machine came or went: its tasks are placed, or wait again.
void Replica::recount(const std::string& machine) {
  for (const auto& ref : placed_on(machine)) {
    Job& j = jobs.at(ref.job);
    count(j, j.chunks[ref.index / kChunkTasks]);
    touched_jobs.insert(ref.job);
  }
}

void Replica::remove(const std::string& key, uint64_t stamp) {
  if (key == kLeaderKey) forget_leader(stamp);
}

void Replica::forget_leader(uint64_t epoch) {
  if (epoch > leader.stamp) leader = Leadership{};
}

}  // namespace rooksill::core
