#include "rooksill/core/replica.h"

#include <charconv>

namespace rooksill::core {

namespace {
constexpr int kMaxPages = 1000;  // of a block's list: more is no list of ours

// "3/12" into 3 and 12.
bool split_numbers(const std::string& text, int& first, int& second) {
  const char* end = text.data() + text.size();
  auto [p, ec] = std::from_chars(text.data(), end, first);
  if (ec != std::errc() || p == end || *p != '/') return false;
  auto [q, ec2] = std::from_chars(p + 1, end, second);
  return ec2 == std::errc() && q == end && first >= 0 && second >= 0;
}

// As many as fit the present limit with the longest names, and a lower one to come with usual ones.
uint32_t items_per_value(const PlatformSettings& s, size_t usual_bytes) {
  const size_t items =
      std::min(s.state_present_value_bytes / kItemBytes, s.state_value_bytes / usual_bytes);
  return static_cast<uint32_t>(std::max<size_t>(1, items));
}
}  // namespace

size_t chunk_count(const Job& job) {
  return (job.spec.tasks + job.chunk_tasks - 1) / job.chunk_tasks;
}

size_t chunk_size(const Job& job, uint32_t chunk) {
  return std::min<size_t>(job.chunk_tasks, job.spec.tasks - chunk * job.chunk_tasks);
}

Replica::Replica(const PlatformSettings& settings)
    : leases(static_cast<size_t>(settings.controllers)),
      pages(static_cast<size_t>(settings.controllers)),
      tasks_per_chunk_(items_per_value(settings, kUsualTaskBytes)),
      machines_per_page_(items_per_value(settings, kUsualMachineBytes)) {}

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
  const size_t c = t.index / j->chunk_tasks;
  return c < j->chunks.size() ? &j->chunks[c].tasks[t.index % j->chunk_tasks] : nullptr;
}
const MachineLoad& Replica::load(const std::string& machine) const {
  static const MachineLoad kNone;
  auto it = loads_.find(machine);
  return it == loads_.end() ? kNone : it->second;
}

std::map<std::string, uint32_t> Replica::tasks_by_zone(const Job& job) const {
  std::map<std::string, uint32_t> out;
  for (const auto& c : job.chunks)
    for (const auto& t : c.tasks)
      if (const Machine* m = t.machine.empty() ? nullptr : machine(t.machine)) ++out[m->zone];
  return out;
}

int Replica::image_number(const std::string& image) {
  auto [it, fresh] = image_numbers_.emplace(image, static_cast<int>(image_names_.size()) + 1);
  if (fresh) image_names_.push_back(image);
  return it->second;
}

Job* Replica::chunk_of(const std::string& name, uint32_t& index) {
  auto slash = name.rfind('/');
  if (slash == std::string::npos) return nullptr;
  Job* j = job(name.substr(0, slash));
  const char* end = name.data() + name.size();
  auto [p, ec] = std::from_chars(name.data() + slash + 1, end, index);
  if (j == nullptr || ec != std::errc() || p != end || index >= j->chunks.size()) return nullptr;
  return j;
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
  if (kPrefix + rest == kUpgradeKey) {
    if (stamp <= upgrade.stamp || !decode_upgrade(value, upgrade)) return false;
    upgrade.stamp = stamp;
    return true;
  }
  if (rest.size() < 3 || rest[1] != '/') return false;
  const std::string name = rest.substr(2);
  switch (rest[0]) {
    case 'j': {
      auto it = jobs.find(name);
      if (it != jobs.end() && stamp <= it->second.stamp) return false;
      Job fresh;
      if (!decode_job(value, fresh)) return false;
      if (fresh.end != JobEnd::kDone && fresh.spec.id != name) return false;
      apply_job(name, std::move(fresh), stamp);
      return true;
    }
    case 't': {
      uint32_t index = 0;
      Job* j = chunk_of(name, index);
      if (j == nullptr || stamp <= j->chunks[index].stamp) return false;
      std::vector<TaskState> tasks;
      if (!decode_chunk(value, chunk_size(*j, index), tasks)) return false;
      apply_chunk(*j, index, std::move(tasks), stamp);
      return true;
    }
    case 'l': {
      int b = -1;
      std::from_chars(name.data(), name.data() + name.size(), b);
      if (b < 0 || static_cast<size_t>(b) >= leases.size()) return false;
      auto& lease = leases[static_cast<size_t>(b)];
      BlockLease fresh;
      if (stamp <= lease.stamp || !decode_lease(value, fresh)) return false;
      fresh.stamp = stamp;
      lease = fresh;
      return true;
    }
    case 'm': {
      int b = -1, page = -1;
      if (!split_numbers(name, b, page) || static_cast<size_t>(b) >= pages.size() ||
          page >= kMaxPages)
        return false;
      auto& block = pages[static_cast<size_t>(b)];
      if (block.size() <= static_cast<size_t>(page)) block.resize(static_cast<size_t>(page) + 1);
      std::map<std::string, Machine> fresh;
      if (stamp <= block[static_cast<size_t>(page)].stamp || !decode_machines(value, fresh))
        return false;
      apply_machines(b, page, fresh, stamp);
      return true;
    }
    case 'n': {
      LifeSign fresh;
      LifeSign& known = life_signs[name];
      if (stamp <= known.stamp || !decode_life_sign(value, fresh)) return false;
      fresh.stamp = stamp;
      known = std::move(fresh);
      return true;
    }
    case 'v': {
      VersionRecord fresh;
      VersionRecord& known = versions[name];
      if (stamp <= known.stamp || !decode_version(value, fresh)) return false;
      fresh.stamp = stamp;
      known = fresh;
      return true;
    }
    case 'q': {
      LimitDivision fresh;
      LimitDivision& known = divisions[name];
      if (stamp <= known.stamp || !decode_division(value, leases.size(), fresh.shares))
        return false;
      fresh.stamp = stamp;
      known = std::move(fresh);
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

void Replica::apply_job(const std::string& id, Job fresh, uint64_t stamp) {
  auto it = jobs.find(id);
  if (it == jobs.end()) {
    const JobEnd end = cancelled_early_.erase(id) != 0 && fresh.end == JobEnd::kOpen
                           ? JobEnd::kCancelled
                           : fresh.end;
    fresh.end = JobEnd::kOpen;
    fresh.spec.id = id;
    fresh.image = image_number(fresh.spec.image);
    if (end != JobEnd::kDone) {
      fresh.chunks.resize(chunk_count(fresh));
      for (uint32_t c = 0; c < fresh.chunks.size(); ++c)
        fresh.chunks[c].tasks.resize(chunk_size(fresh, c));
    }
    it = jobs.emplace(id, std::move(fresh)).first;
    note_end(it->second, end);
  } else {
    note_end(it->second, fresh.end);  // only the end of a job changes after its creation
  }
  Job& j = it->second;
  j.stamp = stamp;
  if (j.end == JobEnd::kDone) {
    // All its tasks are done, whatever was known of them; their chunks are of no more use.
    for (uint32_t c = 0; c < j.chunks.size(); ++c)
      for (uint32_t i = 0; i < j.chunks[c].tasks.size(); ++i) {
        const TaskState& t = j.chunks[c].tasks[i];
        const TaskRef ref{id, c * j.chunk_tasks + i};
        if (t.done) continue;
        events.push_back({TaskEvent::Kind::kDone, id, t.machine});
        if (!t.machine.empty()) take_off(j, ref, t.machine);
      }
    j.chunks.clear();
    j.chunks.shrink_to_fit();
    j.done = j.spec.tasks;
    j.placed = 0;
  }
  touch(j);
}

// An end is final: a record from before it, that comes late, does not take it back.
void Replica::note_end(Job& j, JobEnd end) {
  if (end == j.end || j.over()) return;
  j.end = end;
  if (end == JobEnd::kCancelled) cancelled.push_back(j.spec.id);
}

void Replica::note_cancelled(const std::string& id) {
  Job* j = job(id);
  if (j == nullptr) {
    cancelled_early_.insert(id);
    return;
  }
  if (j->over()) return;
  note_end(*j, JobEnd::kCancelled);
  touch(*j);
}

void Replica::touch(const Job& j) {
  const std::string& id = j.spec.id;
  if (j.over())
    open_jobs.erase(id);
  else
    open_jobs.insert(id);
  index(j);
  touched_jobs.insert(id);
  for (const auto& c : j.chunks)
    for (const auto& t : c.tasks)
      if (!t.machine.empty()) touched_machines.insert(t.machine);
}

void Replica::put_on(const Job& job, const TaskRef& ref, const std::string& machine) {
  MachineLoad& l = loads_[machine];
  touched_machines.insert(machine);
  if (!l.tasks.insert(ref).second) return;
  l.cpus += job.spec.cpus;
  l.gpus += job.spec.gpus;
  l.memory += job.spec.memory_gb;
  if (job.spec.shape == Shape::kService) l.replica_cpus += job.spec.cpus;
}

void Replica::take_off(const Job& job, const TaskRef& ref, const std::string& machine) {
  touched_machines.insert(machine);
  auto it = loads_.find(machine);
  if (it == loads_.end() || it->second.tasks.erase(ref) == 0) return;
  MachineLoad& l = it->second;
  if (l.tasks.empty()) {  // sums of fractions drift; an empty machine starts anew
    loads_.erase(it);
    return;
  }
  l.cpus -= job.spec.cpus;
  l.gpus -= job.spec.gpus;
  l.memory -= job.spec.memory_gb;
  if (job.spec.shape == Shape::kService) l.replica_cpus -= job.spec.cpus;
}

void Replica::apply_chunk(Job& j, uint32_t index_of, std::vector<TaskState> tasks, uint64_t stamp) {
  Chunk& c = j.chunks[index_of];
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const TaskState& was = c.tasks[i];
    const TaskState& is = tasks[i];
    if (was == is) continue;
    const TaskRef ref{j.spec.id, index_of * j.chunk_tasks + i};
    if (was.machine != is.machine) {
      if (!was.machine.empty()) {
        take_off(j, ref, was.machine);
        if (!is.done && j.over()) events.push_back({TaskEvent::Kind::kLeft, ref.job, was.machine});
      }
      if (!is.machine.empty()) {
        put_on(j, ref, is.machine);
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

void Replica::apply_machines(int block, int page, const std::map<std::string, Machine>& fresh,
                             uint64_t stamp) {
  MachinePage& p = pages[static_cast<size_t>(block)][static_cast<size_t>(page)];
  p.stamp = stamp;
  std::vector<std::string> changed;
  for (const auto& name : p.names) {
    if (fresh.count(name) != 0) continue;
    // A page that was split: the machine is on another page by the same transaction, which writes
    // that page first.
    auto known = machines.find(name);
    if (known != machines.end() && (known->second.block != block || known->second.page != page))
      continue;
    machines.erase(name);
    changed.push_back(name);
  }
  p.names.clear();
  for (const auto& [name, listed] : fresh) {
    Machine m = listed;
    m.block = block;
    m.page = page;
    p.names.insert(name);
    auto [known, added] = machines.try_emplace(name, std::move(m));
    if (added)
      changed.push_back(name);
    else
      known->second.page = page;
  }
  for (const auto& name : changed) {
    touched_machines.insert(name);
    recount(name);
  }
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
  index(j);
}

void Replica::index(const Job& j) {
  auto keep = [&](std::set<std::string>& in, bool yes) {
    if (yes)
      in.insert(j.spec.id);
    else
      in.erase(j.spec.id);
  };
  keep(waiting_jobs, !j.over() && unplaced(j) > 0);
  keep(finished_jobs, !j.over() && j.finished_tasks());
}

// A machine came or went: its tasks are placed, or wait again.
void Replica::recount(const std::string& machine) {
  std::set<std::pair<std::string, uint32_t>> chunks;
  for (const auto& ref : placed_on(machine))
    chunks.insert({ref.job, ref.index / jobs.at(ref.job).chunk_tasks});
  for (const auto& [id, c] : chunks) {
    Job& j = jobs.at(id);
    count(j, j.chunks[c]);
    touched_jobs.insert(id);
  }
}

void Replica::remove(const std::string& key, uint64_t stamp) {
  if (key == kLeaderKey) return forget_leader(stamp);
  const std::string prefix = kPrefix + "t/";
  if (key.compare(0, prefix.size(), prefix) != 0) return;
  // A chunk goes only when its job is over and none of its tasks is on a machine.
  uint32_t index_of = 0;
  Job* j = chunk_of(key.substr(prefix.size()), index_of);
  if (j == nullptr || stamp <= j->chunks[index_of].stamp) return;
  std::vector<TaskState> tasks = j->chunks[index_of].tasks;
  for (auto& t : tasks) {
    t.machine.clear();
    t.done = true;
  }
  apply_chunk(*j, index_of, std::move(tasks), stamp);
}

void Replica::forget_leader(uint64_t epoch) {
  if (epoch > leader.stamp) leader = Leadership{};
}

}  // namespace rooksill::core
