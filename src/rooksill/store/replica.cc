#include "rooksill/store/replica.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/value_sizes.h"

namespace rooksill::store {

namespace {
constexpr int kMaxPages = 1000;  // of a partition's list: more is no list of ours

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
      std::min(s.state_present_value_bytes / model::kItemBytes, s.state_value_bytes / usual_bytes);
  return static_cast<uint32_t>(std::max<size_t>(1, items));
}
}  // namespace

size_t shard_count(const model::Job& job) {
  return (job.spec.tasks + job.tasks_per_shard - 1) / job.tasks_per_shard;
}

size_t shard_size(const model::Job& job, uint32_t shard) {
  return std::min<size_t>(job.tasks_per_shard, job.spec.tasks - shard * job.tasks_per_shard);
}

Replica::Replica(const PlatformSettings& settings)
    : leases(static_cast<size_t>(settings.controllers)),
      pages(static_cast<size_t>(settings.controllers)),
      tasks_per_shard_(items_per_value(settings, model::kUsualTaskBytes)),
      machines_per_page_(items_per_value(settings, model::kUsualMachineBytes)) {}

model::Job* Replica::job(const std::string& id) {
  auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : &it->second;
}
const model::Job* Replica::job(const std::string& id) const {
  auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : &it->second;
}
const model::Machine* Replica::machine(const std::string& name) const {
  auto it = machines.find(name);
  return it == machines.end() ? nullptr : &it->second;
}
const model::TaskState* Replica::task(const model::TaskRef& t) const {
  const model::Job* j = job(t.job);
  if (j == nullptr || t.index >= j->spec.tasks) return nullptr;
  const size_t c = t.index / j->tasks_per_shard;
  return c < j->shards.size() ? &j->shards[c].tasks[t.index % j->tasks_per_shard] : nullptr;
}
const MachineLoad& Replica::load(const std::string& machine) const {
  static const MachineLoad kNone;
  auto it = loads_.find(machine);
  return it == loads_.end() ? kNone : it->second;
}

std::map<std::string, uint32_t> Replica::tasks_by_zone(const model::Job& job) const {
  std::map<std::string, uint32_t> out;
  for (const auto& c : job.shards)
    for (const auto& t : c.tasks)
      if (const model::Machine* m = t.machine.empty() ? nullptr : machine(t.machine))
        ++out[m->zone];
  return out;
}

int Replica::image_number(const std::string& image) {
  auto [it, fresh] = image_numbers_.emplace(image, static_cast<int>(image_names_.size()) + 1);
  if (fresh) image_names_.push_back(image);
  return it->second;
}

model::Job* Replica::find_shard(const std::string& name, uint32_t& index) {
  auto slash = name.rfind('/');
  if (slash == std::string::npos) return nullptr;
  model::Job* j = job(name.substr(0, slash));
  const char* end = name.data() + name.size();
  auto [p, ec] = std::from_chars(name.data() + slash + 1, end, index);
  if (j == nullptr || ec != std::errc() || p != end || index >= j->shards.size()) return nullptr;
  return j;
}

bool Replica::apply(const std::string& key, const nlohmann::json& value, model::Revision revision) {
  if (key.compare(0, wire::kPrefix.size(), wire::kPrefix) != 0) return false;
  const std::string rest = key.substr(wire::kPrefix.size());
  if (rest == "lead") {
    if (revision <= leader.revision || !value.is_object()) return false;
    leader.revision = revision;
    leader.label = value.value("h", "");
    leader.incarnation = value.value("i", uint64_t{0});
    leader.term = value.value("t", uint64_t{0});
    return true;
  }
  if (rest == "term") {
    if (revision <= term_revision || !value.is_object()) return false;
    term_revision = revision;
    term = value.value("t", uint64_t{0});
    return true;
  }
  if (wire::kPrefix + rest == wire::kUpgradeKey) {
    if (revision <= upgrade.revision || !wire::decode_upgrade(value, upgrade)) return false;
    upgrade.revision = revision;
    return true;
  }
  if (rest.size() < 3 || rest[1] != '/') return false;
  const std::string name = rest.substr(2);
  switch (rest[0]) {
    case 'j': {
      auto it = jobs.find(name);
      if (it != jobs.end() && revision <= it->second.revision) return false;
      model::Job fresh;
      if (!wire::decode_job(value, fresh)) return false;
      if (fresh.end != model::JobEnd::kDone && fresh.spec.id != name) return false;
      apply_job(name, std::move(fresh), revision);
      return true;
    }
    case 't': {
      uint32_t index = 0;
      model::Job* j = find_shard(name, index);
      if (j == nullptr || revision <= j->shards[index].revision) return false;
      std::vector<model::TaskState> tasks;
      if (!wire::decode_shard(value, shard_size(*j, index), tasks)) return false;
      apply_shard(*j, index, std::move(tasks), revision);
      return true;
    }
    case 'l': {
      int b = -1;
      std::from_chars(name.data(), name.data() + name.size(), b);
      if (b < 0 || static_cast<size_t>(b) >= leases.size()) return false;
      auto& lease = leases[static_cast<size_t>(b)];
      model::PartitionLease fresh;
      if (revision <= lease.revision || !wire::decode_lease(value, fresh)) return false;
      fresh.revision = revision;
      lease = fresh;
      return true;
    }
    case 'm': {
      int b = -1, page = -1;
      if (!split_numbers(name, b, page) || static_cast<size_t>(b) >= pages.size() ||
          page >= kMaxPages)
        return false;
      auto& partition = pages[static_cast<size_t>(b)];
      if (partition.size() <= static_cast<size_t>(page))
        partition.resize(static_cast<size_t>(page) + 1);
      std::map<std::string, model::Machine> fresh;
      if (revision <= partition[static_cast<size_t>(page)].revision ||
          !wire::decode_machines(value, fresh))
        return false;
      apply_machines(b, page, fresh, revision);
      return true;
    }
    case 'n': {
      model::LivenessRecord fresh;
      model::LivenessRecord& known = liveness_records[name];
      if (revision <= known.revision || !wire::decode_liveness(value, fresh)) return false;
      fresh.revision = revision;
      known = std::move(fresh);
      return true;
    }
    case 'v': {
      model::VersionRecord fresh;
      model::VersionRecord& known = versions[name];
      if (revision <= known.revision || !wire::decode_version(value, fresh)) return false;
      fresh.revision = revision;
      known = fresh;
      return true;
    }
    case 'q': {
      model::QuotaDivision fresh;
      model::QuotaDivision& known = quota_divisions[name];
      if (revision <= known.revision ||
          !wire::decode_quota_division(value, leases.size(), fresh.shares))
        return false;
      fresh.revision = revision;
      known = std::move(fresh);
      return true;
    }
    case 'c': {
      model::MachineType t;
      if (!wire::decode_type(value, t)) return false;
      types[t.name] = t;
      return true;
    }
    default:
      return false;
  }
}

void Replica::apply_job(const std::string& id, model::Job fresh, model::Revision revision) {
  auto it = jobs.find(id);
  if (it == jobs.end()) {
    const model::JobEnd end =
        cancelled_before_record_.erase(id) != 0 && fresh.end == model::JobEnd::kOpen
            ? model::JobEnd::kCancelled
            : fresh.end;
    fresh.end = model::JobEnd::kOpen;
    fresh.spec.id = id;
    fresh.image = image_number(fresh.spec.image);
    if (end != model::JobEnd::kDone) {
      fresh.shards.resize(shard_count(fresh));
      for (uint32_t c = 0; c < fresh.shards.size(); ++c)
        fresh.shards[c].tasks.resize(shard_size(fresh, c));
    }
    it = jobs.emplace(id, std::move(fresh)).first;
    record_end(it->second, end);
  } else {
    record_end(it->second, fresh.end);  // only the end of a job changes after its creation
  }
  model::Job& j = it->second;
  j.revision = revision;
  if (j.end == model::JobEnd::kDone) {
    // All its tasks are done, whatever was known of them; their shards are of no more use.
    for (uint32_t c = 0; c < j.shards.size(); ++c)
      for (uint32_t i = 0; i < j.shards[c].tasks.size(); ++i) {
        const model::TaskState& t = j.shards[c].tasks[i];
        const model::TaskRef ref{id, c * j.tasks_per_shard + i};
        if (t.done) continue;
        events.push_back({TaskEvent::Kind::kDone, id, t.machine});
        if (!t.machine.empty()) take_off(j, ref, t.machine);
      }
    j.shards.clear();
    j.shards.shrink_to_fit();
    j.done = j.spec.tasks;
    j.placed = 0;
  }
  touch(j);
}

// An end is final: a record from before it, that comes late, does not take it back.
void Replica::record_end(model::Job& j, model::JobEnd end) {
  if (end == j.end || j.over()) return;
  j.end = end;
  if (end == model::JobEnd::kCancelled) cancelled.push_back(j.spec.id);
}

void Replica::record_cancelled(const std::string& id) {
  model::Job* j = job(id);
  if (j == nullptr) {
    cancelled_before_record_.insert(id);
    return;
  }
  if (j->over()) return;
  record_end(*j, model::JobEnd::kCancelled);
  touch(*j);
}

void Replica::touch(const model::Job& j) {
  const std::string& id = j.spec.id;
  if (j.over())
    open_jobs.erase(id);
  else
    open_jobs.insert(id);
  index(j);
  touched_jobs.insert(id);
  for (const auto& c : j.shards)
    for (const auto& t : c.tasks)
      if (!t.machine.empty()) touched_machines.insert(t.machine);
}

void Replica::put_on(const model::Job& job, const model::TaskRef& ref, const std::string& machine) {
  MachineLoad& l = loads_[machine];
  touched_machines.insert(machine);
  if (!l.tasks.insert(ref).second) return;
  l.used.cpus += job.spec.request.cpus;
  l.used.gpus += job.spec.request.gpus;
  l.used.memory_gb += job.spec.request.memory_gb;
  if (job.spec.shape == model::Shape::kService) l.replica_cpus += job.spec.request.cpus;
}

void Replica::take_off(const model::Job& job, const model::TaskRef& ref,
                       const std::string& machine) {
  touched_machines.insert(machine);
  auto it = loads_.find(machine);
  if (it == loads_.end() || it->second.tasks.erase(ref) == 0) return;
  MachineLoad& l = it->second;
  if (l.tasks.empty()) {  // sums of fractions drift; an empty machine starts anew
    loads_.erase(it);
    return;
  }
  l.used.cpus -= job.spec.request.cpus;
  l.used.gpus -= job.spec.request.gpus;
  l.used.memory_gb -= job.spec.request.memory_gb;
  if (job.spec.shape == model::Shape::kService) l.replica_cpus -= job.spec.request.cpus;
}

void Replica::apply_shard(model::Job& j, uint32_t index_of, std::vector<model::TaskState> tasks,
                          model::Revision revision) {
  model::TaskShard& c = j.shards[index_of];
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const model::TaskState& was = c.tasks[i];
    const model::TaskState& is = tasks[i];
    if (was == is) continue;
    const model::TaskRef ref{j.spec.id, index_of * j.tasks_per_shard + i};
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
  c.revision = revision;
  count(j, c);
  touched_jobs.insert(j.spec.id);
}

void Replica::apply_machines(int partition, int page,
                             const std::map<std::string, model::Machine>& fresh,
                             model::Revision revision) {
  MachinePage& p = pages[static_cast<size_t>(partition)][static_cast<size_t>(page)];
  p.revision = revision;
  std::vector<std::string> changed;
  for (const auto& name : p.names) {
    if (fresh.count(name) != 0) continue;
    // A page that was split: the machine is on another page by the same transaction, which writes
    // that page first.
    auto known = machines.find(name);
    if (known != machines.end() &&
        (known->second.partition != partition || known->second.page != page))
      continue;
    machines.erase(name);
    changed.push_back(name);
  }
  p.names.clear();
  for (const auto& [name, listed] : fresh) {
    model::Machine m = listed;
    m.partition = partition;
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

void Replica::count(model::Job& j, model::TaskShard& c) {
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

void Replica::index(const model::Job& j) {
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
  std::set<std::pair<std::string, uint32_t>> shards;
  for (const auto& ref : placed_on(machine))
    shards.insert({ref.job, ref.index / jobs.at(ref.job).tasks_per_shard});
  for (const auto& [id, c] : shards) {
    model::Job& j = jobs.at(id);
    count(j, j.shards[c]);
    touched_jobs.insert(id);
  }
}

void Replica::remove(const std::string& key, model::Revision revision) {
  if (key == wire::kLeaderKey) return forget_leader(revision);
  const std::string prefix = wire::kPrefix + "t/";
  if (key.compare(0, prefix.size(), prefix) != 0) return;
  // A shard goes only when its job is over and none of its tasks is on a machine.
  uint32_t index_of = 0;
  model::Job* j = find_shard(key.substr(prefix.size()), index_of);
  if (j == nullptr || revision <= j->shards[index_of].revision) return;
  std::vector<model::TaskState> tasks = j->shards[index_of].tasks;
  for (auto& t : tasks) {
    t.machine.clear();
    t.done = true;
  }
  apply_shard(*j, index_of, std::move(tasks), revision);
}

void Replica::forget_leader(model::Revision revision) {
  if (revision > leader.revision) leader = model::Leadership{};
}

}  // namespace rooksill::store
