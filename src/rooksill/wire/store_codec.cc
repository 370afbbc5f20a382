#include "rooksill/wire/store_codec.h"

#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "rooksill/wire/json_fields.h"

namespace rooksill::wire {

using nlohmann::json;

namespace {

constexpr int kPlaceNone = 0;   // the task is not assigned to a machine
constexpr int kPlaceDone = -1;  // the task is done

template <typename Decode>
auto decode_record(Decode decode) {
  return decode_with(Interface::kStoreRecord, decode);
}

model::JobSpec read_spec(const json& value) {
  model::JobSpec spec;
  spec.id = required<std::string>(value, "id");
  spec.job_class = required<std::string>(value, "cl");
  spec.team = required<std::string>(value, "tm");
  spec.shape = static_cast<model::Shape>(required<int>(value, "sh"));
  spec.priority = static_cast<model::Priority>(required<int>(value, "pr"));
  spec.tasks = required<uint32_t>(value, "n");
  spec.request.cpus = required<double>(value, "c");
  spec.request.gpus = required<double>(value, "g");
  spec.request.memory_gb = required<double>(value, "m");
  spec.image = required<std::string>(value, "im");
  spec.image_gb = required<double>(value, "ig");
  spec.types = required<std::vector<std::string>>(value, "ty");
  spec.zone = required<std::string>(value, "z");
  spec.one_zone = required<bool>(value, "oz");
  spec.spread = required<bool>(value, "sp");
  spec.spot = required<bool>(value, "st");
  spec.estimate_s = required<double>(value, "e");
  spec.checkpoint_s = required<double>(value, "ck");
  spec.save_s = required<double>(value, "sv");
  if (!member(value, "d").is_null()) spec.deadline_s = required<double>(value, "d");
  return spec;
}

model::Job read_job(const json& value) {
  model::Job job;
  const int end = required<int>(value, "e");
  if (end < int(model::JobEnd::kOpen) || end > int(model::JobEnd::kDone))
    throw FieldError{"e", "unknown job end", std::to_string(end)};
  job.end = static_cast<model::JobEnd>(end);
  if (job.end == model::JobEnd::kDone) {
    job.spec.tasks = required<uint32_t>(value, "n");
    return job;
  }
  job.spec = read_spec(member(value, "s"));
  job.submitted_at = required<double>(value, "t");
  job.tasks_per_shard = required<uint32_t>(value, "k");
  if (job.tasks_per_shard == 0) throw FieldError{"k", "must not be zero", ""};
  return job;
}

std::vector<model::TaskState> read_shard(const json& value, size_t count) {
  const json& names = member(value, "m");
  const json& places = member(value, "p");
  const json& attempts = member(value, "a");
  if (!places.is_array() || places.size() != count)
    throw FieldError{"p", "must have " + std::to_string(count) + " entries", ""};
  if (attempts.size() != count)
    throw FieldError{"a", "must have " + std::to_string(count) + " entries", ""};
  std::vector<model::TaskState> tasks(count);
  for (size_t i = 0; i < count; ++i) {
    const int place = convert<int>(places[i], "p");
    tasks[i].attempt = convert<uint64_t>(attempts[i], "a");
    tasks[i].done = place < kPlaceNone;
    if (place > kPlaceNone)
      tasks[i].machine = convert<std::string>(names.at(static_cast<size_t>(place) - 1), "m");
  }
  return tasks;
}

std::map<std::string, model::Machine> read_machines(const json& value) {
  std::map<std::string, model::Machine> machines;
  for (const auto& group : member(value, "g")) {
    model::Machine machine;
    machine.type = group.at(0);
    machine.zone = group.at(1);
    machine.spot = group.at(2).get<int>() != 0;
    for (const auto& entry : group.at(3)) {
      machine.name = entry.at(0);
      machine.rented_at = static_cast<double>(entry.at(1).get<int64_t>());
      machines[machine.name] = machine;
    }
  }
  return machines;
}

std::vector<model::QuotaShare> read_quota_division(const json& value, size_t partitions) {
  const json& cpus = member(value, "c");
  const json& gpus = member(value, "g");
  if (!cpus.is_array() || cpus.size() != partitions)
    throw FieldError{"c", "must have one share per partition", ""};
  if (!gpus.is_array() || gpus.size() != partitions)
    throw FieldError{"g", "must have one share per partition", ""};
  std::vector<model::QuotaShare> shares(partitions);
  for (size_t partition = 0; partition < partitions; ++partition) {
    model::QuotaShare& share = shares[partition];
    share = {convert<double>(cpus[partition], "c"), convert<double>(gpus[partition], "g")};
    if (!(share.cpus >= 0)) throw FieldError{"c", "share must not be negative", ""};
    if (!(share.gpus >= 0)) throw FieldError{"g", "share must not be negative", ""};
  }
  return shares;
}

}  // namespace

json encode_spec(const model::JobSpec& spec) {
  return json{{"id", spec.id},
              {"cl", spec.job_class},
              {"tm", spec.team},
              {"sh", int(spec.shape)},
              {"pr", int(spec.priority)},
              {"n", spec.tasks},
              {"c", spec.request.cpus},
              {"g", spec.request.gpus},
              {"m", spec.request.memory_gb},
              {"im", spec.image},
              {"ig", spec.image_gb},
              {"ty", spec.types},
              {"z", spec.zone},
              {"oz", spec.one_zone},
              {"sp", spec.spread},
              {"st", spec.spot},
              {"e", spec.estimate_s},
              {"ck", spec.checkpoint_s},
              {"sv", spec.save_s},
              {"d", spec.deadline_s ? json(*spec.deadline_s) : json(nullptr)}};
}

Decoded<model::JobSpec> decode_spec(const json& value) {
  return decode_record([&] { return read_spec(value); });
}

json encode_job(const model::Job& job) {
  if (job.end == model::JobEnd::kDone) return json{{"e", int(job.end)}, {"n", job.spec.tasks}};
  return json{{"s", encode_spec(job.spec)},
              {"t", job.submitted_at},
              {"e", int(job.end)},
              {"k", job.tasks_per_shard}};
}

Decoded<model::Job> decode_job(const json& value) {
  return decode_record([&] { return read_job(value); });
}

// Each machine name is stored once; tasks refer to machines by their 1-based index in that list.
json encode_shard(const std::vector<model::TaskState>& tasks) {
  json names = json::array(), places = json::array(), attempts = json::array();
  std::map<std::string, int> numbers;
  for (const auto& task : tasks) {
    int place = task.done ? kPlaceDone : kPlaceNone;
    if (!task.done && !task.machine.empty()) {
      auto [it, added] = numbers.emplace(task.machine, static_cast<int>(numbers.size()) + 1);
      if (added) names.push_back(task.machine);
      place = it->second;
    }
    places.push_back(place);
    attempts.push_back(task.attempt);
  }
  return json{{"m", std::move(names)}, {"p", std::move(places)}, {"a", std::move(attempts)}};
}

Decoded<std::vector<model::TaskState>> decode_shard(const json& value, size_t count) {
  return decode_record([&] { return read_shard(value, count); });
}

json encode_lease(const model::PartitionLease& lease) {
  return json{{"h", lease.owner}, {"i", lease.incarnation}, {"t", lease.fencing_token}};
}

Decoded<model::PartitionLease> decode_lease(const json& value) {
  return decode_record([&] {
    model::PartitionLease lease;
    lease.owner = required<std::string>(value, "h");
    lease.incarnation = required<uint64_t>(value, "i");
    lease.fencing_token = required<model::FencingToken>(value, "t");
    return lease;
  });
}

// Machines are grouped by type, zone and spot so that these are stored once per group.
json encode_machines(const std::map<std::string, model::Machine>& machines) {
  std::map<std::tuple<std::string, std::string, bool>, json> groups;
  for (const auto& [name, machine] : machines) {
    json& group = groups[{machine.type, machine.zone, machine.spot}];
    if (group.is_null()) group = json::array();
    group.push_back(json::array({name, static_cast<int64_t>(machine.rented_at)}));
  }
  json encoded = json::array();
  for (auto& [kind, members] : groups) {
    const auto& [type, zone, spot] = kind;
    encoded.push_back(json::array({type, zone, spot ? 1 : 0, std::move(members)}));
  }
  return json{{"g", std::move(encoded)}};
}

Decoded<std::map<std::string, model::Machine>> decode_machines(const json& value) {
  return decode_record([&] { return read_machines(value); });
}

json encode_liveness(const model::LivenessRecord& record) {
  return json{{"i", record.incarnation},
              {"u", record.suspects_itself},
              {"f", record.intended_recipients},
              {"q", record.unreachable_machines},
              {"d", record.unreachable_zones}};
}

Decoded<model::LivenessRecord> decode_liveness(const json& value) {
  return decode_record([&] {
    model::LivenessRecord record;
    record.incarnation = required<uint64_t>(value, "i");
    record.suspects_itself = required<bool>(value, "u");
    record.intended_recipients = required<std::vector<std::string>>(value, "f");
    record.unreachable_machines = required<std::vector<std::string>>(value, "q");
    record.unreachable_zones = required<std::vector<std::string>>(value, "d");
    return record;
  });
}

json encode_quota_division(const std::vector<model::QuotaShare>& shares) {
  json cpus = json::array(), gpus = json::array();
  for (const auto& share : shares) {
    cpus.push_back(share.cpus);
    gpus.push_back(share.gpus);
  }
  return json{{"c", std::move(cpus)}, {"g", std::move(gpus)}};
}

Decoded<std::vector<model::QuotaShare>> decode_quota_division(const json& value,
                                                              size_t partitions) {
  return decode_record([&] { return read_quota_division(value, partitions); });
}

json encode_version(const model::VersionRecord& record) {
  return json{{"v", record.version}, {"i", record.incarnation}};
}

Decoded<model::VersionRecord> decode_version(const json& value) {
  return decode_record([&] {
    model::VersionRecord record;
    record.version = required<int>(value, "v");
    record.incarnation = required<uint64_t>(value, "i");
    return record;
  });
}

json encode_upgrade(const model::UpgradeRecord& record) { return json{{"v", record.version}}; }

Decoded<model::UpgradeRecord> decode_upgrade(const json& value) {
  return decode_record([&] {
    model::UpgradeRecord record;
    record.version = required<int>(value, "v");
    return record;
  });
}

json encode_type(const model::MachineType& type) {
  return json{{"n", type.name},          {"c", type.capacity.cpus},
              {"g", type.capacity.gpus}, {"m", type.capacity.memory_gb},
              {"k", type.cache_gb},      {"f", type.fetch_gb_per_s},
              {"p", type.price},         {"s", type.spot_price},
              {"b", type.boot_s},        {"z", type.zones}};
}

Decoded<model::MachineType> decode_type(const json& value) {
  return decode_record([&] {
    model::MachineType type;
    type.name = required<std::string>(value, "n");
    type.capacity.cpus = required<double>(value, "c");
    type.capacity.gpus = required<double>(value, "g");
    type.capacity.memory_gb = required<double>(value, "m");
    type.cache_gb = required<double>(value, "k");
    type.fetch_gb_per_s = required<double>(value, "f");
    type.price = required<double>(value, "p");
    type.spot_price = required<double>(value, "s");
    type.boot_s = required<double>(value, "b");
    type.zones = required<std::vector<std::string>>(value, "z");
    return type;
  });
}

json encode_leadership(const model::Leadership& leadership) {
  return json{{"h", leadership.label}, {"i", leadership.incarnation}, {"t", leadership.term}};
}

Decoded<model::Leadership> decode_leadership(const json& value) {
  return decode_record([&] {
    model::Leadership leadership;
    leadership.label = field_or<std::string>(value, "h", "");
    leadership.incarnation = field_or<uint64_t>(value, "i", 0);
    leadership.term = field_or<uint64_t>(value, "t", 0);
    return leadership;
  });
}

json encode_term(uint64_t term) { return json{{"t", term}}; }

Decoded<uint64_t> decode_term(const json& value) {
  return decode_record([&] { return field_or<uint64_t>(value, "t", 0); });
}

}  // namespace rooksill::wire
