#include "rooksill/store/replica.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "rooksill/model/value_sizes.h"
#include "rooksill/wire/decoded.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::store {

using nlohmann::json;

namespace {

// Returns how many items are stored in one value: as many as fit the limit in force with names of
// maximum length, and any announced lower limit with names of typical length.
uint32_t items_per_value(const PlatformSettings& settings, size_t typical_item_bytes) {
  const size_t items = std::min(settings.store_current_max_value_bytes / model::kMaxItemBytes,
                                settings.store_max_value_bytes / typical_item_bytes);
  return static_cast<uint32_t>(std::max<size_t>(1, items));
}

// Replaces a record by a newer revision. Returns false if `revision` is not newer or decoding
// fails.
template <typename Record>
bool replace_record(Record& known, wire::Decoded<Record> (*decode)(const json&), const json& value,
                    model::Revision revision) {
  if (revision <= known.revision) return false;
  auto decoded = decode(value);
  if (!decoded) return false;
  known = std::move(*decoded);
  known.revision = revision;
  return true;
}

}  // namespace

Replica::Replica(const PlatformSettings& settings)
    : leases(static_cast<size_t>(settings.controller_count)),
      tasks_per_shard_(items_per_value(settings, model::kTypicalTaskBytes)),
      machines_per_page_(items_per_value(settings, model::kTypicalMachineBytes)),
      directory_(static_cast<size_t>(settings.controller_count)) {}

// ---- lookups ----------------------------------------------------------------------------------

model::Job* Replica::job(const std::string& id) {
  auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : &it->second;
}

const model::Job* Replica::job(const std::string& id) const {
  auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : &it->second;
}

const model::TaskState* Replica::task(const model::TaskRef& ref) const {
  const model::Job* known = job(ref.job);
  if (known == nullptr || ref.index >= known->spec.tasks) return nullptr;
  const size_t shard = ref.index / known->tasks_per_shard;
  if (shard >= known->shards.size()) return nullptr;
  return &known->shards[shard].tasks[ref.index % known->tasks_per_shard];
}

std::map<std::string, uint32_t> Replica::tasks_by_zone(const model::Job& job) const {
  std::map<std::string, uint32_t> counts;
  for (const auto& shard : job.shards) {
    for (const auto& task : shard.tasks) {
      const model::Machine* known = task.machine.empty() ? nullptr : machine(task.machine);
      if (known != nullptr) ++counts[known->zone];
    }
  }
  return counts;
}

// ---- changes ----------------------------------------------------------------------------------

bool Replica::apply(const std::string& key, const json& value, model::Revision revision) {
  const auto parsed = wire::parse_store_key(key);
  if (!parsed) return false;
  switch (parsed->kind) {
    case wire::KeyKind::kJob:
      return apply_job(parsed->name, value, revision);
    case wire::KeyKind::kShard:
      return apply_shard(*parsed, value, revision);
    case wire::KeyKind::kLease:
      return apply_lease(parsed->partition, value, revision);
    case wire::KeyKind::kMachines:
      return apply_machines({parsed->partition, parsed->page}, value, revision);
    case wire::KeyKind::kLiveness:
      return replace_record(liveness_records[parsed->name], wire::decode_liveness, value, revision);
    case wire::KeyKind::kVersion:
      return replace_record(versions[parsed->name], wire::decode_version, value, revision);
    case wire::KeyKind::kQuota:
      return apply_quota(parsed->name, value, revision);
    case wire::KeyKind::kMachineType:
      return apply_type(value);
    case wire::KeyKind::kLeader:
      return replace_record(leader, wire::decode_leadership, value, revision);
    case wire::KeyKind::kTerm:
      return apply_term(value, revision);
    case wire::KeyKind::kUpgrade:
      return replace_record(upgrade, wire::decode_upgrade, value, revision);
  }
  return false;
}

bool Replica::apply_lease(int partition, const json& value, model::Revision revision) {
  const auto number = static_cast<size_t>(partition);
  if (number >= leases.size()) return false;
  return replace_record(leases[number], wire::decode_lease, value, revision);
}

bool Replica::apply_quota(const std::string& team, const json& value, model::Revision revision) {
  model::QuotaDivision& known = quota_divisions[team];
  if (revision <= known.revision) return false;
  auto shares = wire::decode_quota_division(value, leases.size());
  if (!shares) return false;
  known = {revision, std::move(*shares)};
  return true;
}

// Machine types are kept without revisions, so the value that arrives last wins, even if it is
// stale. The leader rewrites types that differ from the cloud provider's catalog.
bool Replica::apply_type(const json& value) {
  auto type = wire::decode_type(value);
  if (!type) return false;
  const std::string name = type->name;
  types[name] = std::move(*type);
  return true;
}

bool Replica::apply_term(const json& value, model::Revision revision) {
  if (revision <= term_revision) return false;
  const auto decoded = wire::decode_term(value);
  if (!decoded) return false;
  term = *decoded;
  term_revision = revision;
  return true;
}

void Replica::remove(const std::string& key, model::Revision revision) {
  const auto parsed = wire::parse_store_key(key);
  if (!parsed) return;
  if (parsed->kind == wire::KeyKind::kLeader) return clear_leader(revision);
  if (parsed->kind != wire::KeyKind::kShard) return;
  // A shard is deleted only after its job has ended and none of its tasks is on a machine.
  const ShardLocation location = find_shard(*parsed);
  if (location.shard == nullptr || revision <= location.shard->revision) return;
  std::vector<model::TaskState> tasks = location.shard->tasks;
  for (auto& task : tasks) {
    task.machine.clear();
    task.done = true;
  }
  const uint32_t first_task = parsed->shard * location.job->tasks_per_shard;
  replace_tasks(*location.job, *location.shard, first_task, std::move(tasks), revision);
}

void Replica::clear_leader(model::Revision revision) {
  if (revision > leader.revision) leader = model::Leadership{};
}

}  // namespace rooksill::store
