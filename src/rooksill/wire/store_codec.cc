#include "rooksill/wire/store_codec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/value_sizes.h"

namespace rooksill::wire {

using nlohmann::json;

std::string job_key(const std::string& id) { return kPrefix + "j/" + id; }
std::string shard_key(const std::string& id, uint32_t shard) {
  return kPrefix + "t/" + id + "/" + std::to_string(shard);
}
std::string lease_key(int partition) { return kPrefix + "l/" + std::to_string(partition); }
std::string machines_key(int partition, int page) {
  return kPrefix + "m/" + std::to_string(partition) + "/" + std::to_string(page);
}
std::string liveness_key(const std::string& label) { return kPrefix + "n/" + label; }
std::string type_key(const std::string& name) { return kPrefix + "c/" + name; }

std::string quota_key(const std::string& team) { return kPrefix + "q/" + team; }

std::string version_key(const std::string& label) { return kPrefix + "v/" + label; }

bool is_machines_key(const std::string& key) { return key.rfind(kPrefix + "m/", 0) == 0; }

bool valid_quota_key(const std::string& team) {
  return !team.empty() && team.size() <= model::kMaxName &&
         std::all_of(team.begin(), team.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

json encode_spec(const model::JobSpec& s) {
  return json{{"id", s.id},
              {"cl", s.job_class},
              {"tm", s.team},
              {"sh", int(s.shape)},
              {"pr", int(s.priority)},
              {"n", s.tasks},
              {"c", s.request.cpus},
              {"g", s.request.gpus},
              {"m", s.request.memory_gb},
              {"im", s.image},
              {"ig", s.image_gb},
              {"ty", s.types},
              {"z", s.zone},
              {"oz", s.one_zone},
              {"sp", s.spread},
              {"st", s.spot},
              {"e", s.estimate_s},
              {"ck", s.checkpoint_s},
              {"sv", s.save_s},
              {"d", s.deadline_s ? json(*s.deadline_s) : json(nullptr)}};
}

bool decode_spec(const json& v, model::JobSpec& s) try {
  s.id = v.at("id");
  s.job_class = v.at("cl");
  s.team = v.at("tm");
  s.shape = static_cast<model::Shape>(v.at("sh").get<int>());
  s.priority = static_cast<model::Priority>(v.at("pr").get<int>());
  s.tasks = v.at("n");
  s.request.cpus = v.at("c");
  s.request.gpus = v.at("g");
  s.request.memory_gb = v.at("m");
  s.image = v.at("im");
  s.image_gb = v.at("ig");
  s.types = v.at("ty").get<std::vector<std::string>>();
  s.zone = v.at("z");
  s.one_zone = v.at("oz");
  s.spread = v.at("sp");
  s.spot = v.at("st");
  s.estimate_s = v.at("e");
  s.checkpoint_s = v.at("ck");
  s.save_s = v.at("sv");
  if (!v.at("d").is_null()) s.deadline_s = v.at("d").get<double>();
  return true;
} catch (const json::exception&) {
  return false;
}

// Of a job that is done only what its answers need is kept.
json encode_job(const model::Job& job) {
  if (job.end == model::JobEnd::kDone) return json{{"e", int(job.end)}, {"n", job.spec.tasks}};
  return json{{"s", encode_spec(job.spec)},
              {"t", job.submitted},
              {"e", int(job.end)},
              {"k", job.tasks_per_shard}};
}

bool decode_job(const json& v, model::Job& job) try {
  const int end = v.at("e").get<int>();
  if (end < int(model::JobEnd::kOpen) || end > int(model::JobEnd::kDone)) return false;
  job.end = static_cast<model::JobEnd>(end);
  if (job.end == model::JobEnd::kDone) {
    job.spec.tasks = v.at("n");
    return true;
  }
  if (!decode_spec(v.at("s"), job.spec)) return false;
  job.submitted = v.at("t");
  job.tasks_per_shard = v.at("k");
  return job.tasks_per_shard > 0;
} catch (const json::exception&) {
  return false;
}

// Machines are named once; a task has its machine's number, 0 for none and -1 once it is done.
json encode_shard(const std::vector<model::TaskState>& tasks) {
  json names = json::array(), places = json::array(), attempts = json::array();
  std::map<std::string, int> numbers;
  for (const auto& t : tasks) {
    int place = t.done ? -1 : 0;
    if (!t.done && !t.machine.empty()) {
      auto [it, fresh] = numbers.emplace(t.machine, static_cast<int>(numbers.size()) + 1);
      if (fresh) names.push_back(t.machine);
      place = it->second;
    }
    places.push_back(place);
    attempts.push_back(t.attempt);
  }
  return json{{"m", std::move(names)}, {"p", std::move(places)}, {"a", std::move(attempts)}};
}

bool decode_shard(const json& v, size_t count, std::vector<model::TaskState>& tasks) try {
  const json &names = v.at("m"), &places = v.at("p"), &attempts = v.at("a");
  if (!places.is_array() || places.size() != count || attempts.size() != count) return false;
  tasks.assign(count, {});
  for (size_t i = 0; i < count; ++i) {
    const int place = places[i].get<int>();
    tasks[i].attempt = attempts[i].get<uint64_t>();
    tasks[i].done = place < 0;
    if (place > 0) tasks[i].machine = names.at(static_cast<size_t>(place) - 1);
  }
  return true;
} catch (const json::exception&) {
  return false;
}

json encode_lease(const model::PartitionLease& l) {
  return json{{"h", l.owner}, {"i", l.incarnation}, {"t", l.fencing_token}};
}

bool decode_lease(const json& v, model::PartitionLease& l) try {
  l.owner = v.at("h");
  l.incarnation = v.at("i");
  l.fencing_token = v.at("t");
  return true;
} catch (const json::exception&) {
  return false;
}

json encode_liveness(const model::LivenessRecord& s) {
  return json{{"i", s.incarnation},
              {"u", s.suspects_itself},
              {"f", s.meant_for},
              {"q", s.silent},
              {"d", s.unreachable_zones}};
}

bool decode_liveness(const json& v, model::LivenessRecord& s) try {
  s.incarnation = v.at("i");
  s.suspects_itself = v.at("u");
  s.meant_for = v.at("f").get<std::vector<std::string>>();
  s.silent = v.at("q").get<std::vector<std::string>>();
  s.unreachable_zones = v.at("d").get<std::vector<std::string>>();
  return true;
} catch (const json::exception&) {
  return false;
}

// By kind, so that type and zone are written once.
json encode_machines(const std::map<std::string, model::Machine>& machines) {
  std::map<std::tuple<std::string, std::string, bool>, json> groups;
  for (const auto& [name, m] : machines) {
    json& group = groups[{m.type, m.zone, m.spot}];
    if (group.is_null()) group = json::array();
    group.push_back(json::array({name, static_cast<int64_t>(m.rented)}));
  }
  json out = json::array();
  for (auto& [kind, members] : groups)
    out.push_back(json::array(
        {std::get<0>(kind), std::get<1>(kind), std::get<2>(kind) ? 1 : 0, std::move(members)}));
  return json{{"g", std::move(out)}};
}

bool decode_machines(const json& v, std::map<std::string, model::Machine>& machines) try {
  machines.clear();
  for (const auto& group : v.at("g")) {
    model::Machine m;
    m.type = group.at(0);
    m.zone = group.at(1);
    m.spot = group.at(2).get<int>() != 0;
    for (const auto& a : group.at(3)) {
      m.name = a.at(0);
      m.rented = static_cast<double>(a.at(1).get<int64_t>());
      machines[m.name] = m;
    }
  }
  return true;
} catch (const json::exception&) {
  return false;
}

json encode_quota_division(const std::vector<model::QuotaShare>& shares) {
  json cpus = json::array(), gpus = json::array();
  for (const auto& s : shares) {
    cpus.push_back(s.cpus);
    gpus.push_back(s.gpus);
  }
  return json{{"c", std::move(cpus)}, {"g", std::move(gpus)}};
}

bool decode_quota_division(const json& v, size_t partitions,
                           std::vector<model::QuotaShare>& shares) try {
  const json &cpus = v.at("c"), &gpus = v.at("g");
  if (!cpus.is_array() || !gpus.is_array() || cpus.size() != partitions ||
      gpus.size() != partitions)
    return false;
  shares.assign(partitions, {});
  for (size_t b = 0; b < partitions; ++b) {
    shares[b] = {cpus[b].get<double>(), gpus[b].get<double>()};
    if (!(shares[b].cpus >= 0) || !(shares[b].gpus >= 0)) return false;
  }
  return true;
} catch (const json::exception&) {
  return false;
}

json encode_version(const model::VersionRecord& record) {
  return json{{"v", record.version}, {"i", record.incarnation}};
}

bool decode_version(const json& v, model::VersionRecord& record) try {
  record.version = v.at("v");
  record.incarnation = v.at("i");
  return true;
} catch (const json::exception&) {
  return false;
}

json encode_upgrade(const model::UpgradeRecord& record) { return json{{"v", record.version}}; }

bool decode_upgrade(const json& v, model::UpgradeRecord& record) try {
  record.version = v.at("v");
  return true;
} catch (const json::exception&) {
  return false;
}

json encode_type(const model::MachineType& t) {
  return json{{"n", t.name},          {"c", t.capacity.cpus},
              {"g", t.capacity.gpus}, {"m", t.capacity.memory_gb},
              {"k", t.cache_gb},      {"f", t.fetch_gb_per_s},
              {"p", t.price},         {"s", t.spot_price},
              {"b", t.boot_s},        {"z", t.zones}};
}

bool decode_type(const json& v, model::MachineType& t) try {
  t.name = v.at("n");
  t.capacity.cpus = v.at("c");
  t.capacity.gpus = v.at("g");
  t.capacity.memory_gb = v.at("m");
  t.cache_gb = v.at("k");
  t.fetch_gb_per_s = v.at("f");
  t.price = v.at("p");
  t.spot_price = v.at("s");
  t.boot_s = v.at("b");
  t.zones = v.at("z").get<std::vector<std::string>>();
  return true;
} catch (const json::exception&) {
  return false;
}

std::string task_name(const model::TaskRef& t) { return t.job + "/" + std::to_string(t.index); }

std::optional<model::TaskRef> parse_task_name(const std::string& name) {
  auto slash = name.rfind('/');
  if (slash == std::string::npos || slash + 1 >= name.size()) return std::nullopt;
  model::TaskRef t;
  t.job = name.substr(0, slash);
  const char* end = name.data() + name.size();
  auto [p, ec] = std::from_chars(name.data() + slash + 1, end, t.index);
  if (ec != std::errc() || p != end || !valid_job_id(t.job)) return std::nullopt;
  return t;
}

bool valid_job_id(const std::string& id) {
  if (id.size() < 4 || id.size() > 64 || id.compare(0, 3, "wk-") != 0) return false;
  return std::all_of(id.begin() + 3, id.end(),
                     [](unsigned char c) { return c >= '0' && c <= '9'; });
}

}  // namespace rooksill::wire
