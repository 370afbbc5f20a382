#include "rooksill/core/codec.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace rooksill::core {

using nlohmann::json;

std::string job_key(const std::string& id) { return kPrefix + "j/" + id; }
std::string chunk_key(const std::string& id, uint32_t chunk) {
  return kPrefix + "t/" + id + "/" + std::to_string(chunk);
}
std::string lease_key(int block) { return kPrefix + "l/" + std::to_string(block); }
std::string machines_key(int block) { return kPrefix + "m/" + std::to_string(block); }
std::string type_key(const std::string& name) { return kPrefix + "c/" + name; }

json encode_spec(const JobSpec& s) {
  return json{{"id", s.id},
              {"cl", s.job_class},
              {"tm", s.team},
              {"sh", int(s.shape)},
              {"pr", int(s.priority)},
              {"n", s.tasks},
              {"c", s.cpus},
              {"g", s.gpus},
              {"m", s.memory_gb},
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

bool decode_spec(const json& v, JobSpec& s) try {
  s.id = v.at("id");
  s.job_class = v.at("cl");
  s.team = v.at("tm");
  s.shape = static_cast<Shape>(v.at("sh").get<int>());
  s.priority = static_cast<Priority>(v.at("pr").get<int>());
  s.tasks = v.at("n");
  s.cpus = v.at("c");
  s.gpus = v.at("g");
  s.memory_gb = v.at("m");
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

json encode_job(const Job& job) {
  return json{{"s", encode_spec(job.spec)}, {"t", job.submitted}, {"e", int(job.end)}};
}

bool decode_job(const json& v, Job& job) try {
  if (!decode_spec(v.at("s"), job.spec)) return false;
  job.submitted = v.at("t");
  job.end = static_cast<JobEnd>(v.at("e").get<int>());
  return true;
} catch (const json::exception&) {
  return false;
}

json encode_chunk(const std::vector<TaskState>& tasks) {
  json a = json::array();
  for (const auto& t : tasks) a.push_back(json::array({t.machine, t.attempt, t.done ? 1 : 0}));
  return json{{"a", std::move(a)}};
}

bool decode_chunk(const json& v, size_t count, std::vector<TaskState>& tasks) try {
  const json& a = v.at("a");
  if (!a.is_array() || a.size() != count) return false;
  tasks.clear();
  for (const auto& t : a) {
    TaskState s;
    s.machine = t.at(0);
    s.attempt = t.at(1);
    s.done = t.at(2).get<int>() != 0;
    tasks.push_back(std::move(s));
  }
  return true;
} catch (const json::exception&) {
  return false;
}

json encode_lease(const BlockLease& l) {
  return json{{"h", l.holder}, {"i", l.incarnation}, {"t", l.token}};
}

bool decode_lease(const json& v, BlockLease& l) try {
  l.holder = v.at("h");
  l.incarnation = v.at("i");
  l.token = v.at("t");
  return true;
} catch (const json::exception&) {
  return false;
}

json encode_machines(const std::map<std::string, Machine>& machines) {
  json o = json::object();
  for (const auto& [name, m] : machines)
    o[name] = json::array({m.type, m.zone, m.spot ? 1 : 0, m.rented});
  return o;
}

bool decode_machines(const json& v, int block, std::map<std::string, Machine>& machines) try {
  machines.clear();
  for (const auto& [name, a] : v.items()) {
    Machine m;
    m.name = name;
    m.type = a.at(0);
    m.zone = a.at(1);
    m.spot = a.at(2).get<int>() != 0;
    m.rented = a.at(3);
    m.block = block;
    machines[name] = std::move(m);
  }
  return true;
} catch (const json::exception&) {
  return false;
}

json encode_type(const MachineType& t) {
  return json{{"n", t.name},     {"c", t.cpus},           {"g", t.gpus},  {"m", t.memory_gb},
              {"k", t.cache_gb}, {"f", t.fetch_gb_per_s}, {"p", t.price}, {"s", t.spot_price},
              {"b", t.boot_s},   {"z", t.zones}};
}

bool decode_type(const json& v, MachineType& t) try {
  t.name = v.at("n");
  t.cpus = v.at("c");
  t.gpus = v.at("g");
  t.memory_gb = v.at("m");
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

std::string task_name(const TaskRef& t) { return t.job + "/" + std::to_string(t.index); }

std::optional<TaskRef> parse_task_name(const std::string& name) {
  auto slash = name.rfind('/');
  if (slash == std::string::npos || slash + 1 >= name.size()) return std::nullopt;
  TaskRef t;
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

}  // namespace rooksill::core
