#include "standins/cloud.h"

#include <algorithm>

namespace standins {

using nlohmann::json;

namespace {

constexpr size_t kMaxPageEntries = 500;           // maximum that the protocol allows
constexpr double kSnapshotIntervalSeconds = 0.2;  // between snapshots of the machine list
constexpr double kBurstSeconds = 2;  // the request budget holds the requests of this time
constexpr double kNeverSeconds = 1e18;
constexpr size_t kNameDigits = 6;

// Returns the value of a query parameter, or an empty string if it is missing.
std::string query_parameter(const std::string& target, const std::string& name) {
  const auto found = target.find(name + "=");
  if (found == std::string::npos) return "";
  const auto begin = found + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

const char* wire_status(const CloudMachine& machine) {
  return machine.is_booted ? "running" : "booting";
}

}  // namespace

json Cloud::machine_list() const {
  json list = json::array();
  for (const auto& [name, machine] : machines) {
    if (machine.is_terminated) continue;
    list.push_back({{"id", name},
                    {"address", machine.address},
                    {"build", machine.type},
                    {"ward", machine.zone},
                    {"loaners", machine.spot},
                    {"status", wire_status(machine)},
                    {"held_s", last_tick_ - machine.rented_at}});
  }
  return list;
}

void Cloud::tick(double now) {
  for (auto& [name, machine] : machines) {
    if (machine.is_terminated || machine.is_booted || now < machine.boots_at) continue;
    machine.is_booted = true;
    newly_booted.push_back(name);
  }
  refill_budget(now);
  last_tick_ = now;
  if (list_snapshots_.empty() || now - list_snapshots_.back().taken_at >= kSnapshotIntervalSeconds)
    list_snapshots_.push_back({now, machine_list()});
  while (list_snapshots_.size() > 1 && list_snapshots_[1].taken_at <= now - list_lag_s_)
    list_snapshots_.pop_front();
}

void Cloud::refill_budget(double now) {
  const double full = kBurstSeconds * requests_per_s_;
  if (request_budget_ < 0) request_budget_ = full;
  request_budget_ = std::min(full, request_budget_ + (now - last_tick_) * requests_per_s_);
}

void Cloud::reclaim(const std::string& name) {
  auto it = machines.find(name);
  if (it == machines.end() || it->second.is_terminated) return;
  it->second.is_terminated = true;
  newly_terminated.push_back(name);
}

HttpResponse Cloud::handle(double now, const HttpRequest& request) {
  tick(now);
  if (has_outage) return {503, "{\"error\":\"trouble\"}"};
  if (request_budget_ < 1) return {429, "{}"};
  request_budget_ -= 1;
  if (request.method == "GET")
    return request.target == "/catalog" ? catalog() : list_page(request.target);
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return {400, "{}"};
  return request.target == "/hosts/release" ? release(body) : rent(now, body);
}

HttpResponse Cloud::catalog() const {
  json list = json::array();
  for (const auto& type : types)
    list.push_back({{"label", type.name},
                    {"cores", type.cpus},
                    {"gpus", 0},
                    {"memory_gb", type.memory_gb},
                    {"local_gb", 60},
                    {"pull_gb_per_s", type.fetch_gb_per_s},
                    {"hourly", type.price},
                    {"market_price", type.spot_price},
                    {"ready_s", type.boot_s},
                    {"wards", type.zones}});
  return {200, json{{"builds", list}}.dump()};
}

HttpResponse Cloud::list_page(const std::string& target) const {
  const std::string after = query_parameter(target, "from");
  const std::string limit = query_parameter(target, "most");
  const size_t size =
      limit.empty() ? kMaxPageEntries : std::min(kMaxPageEntries, size_t{std::stoul(limit)});
  json list = json::array();
  bool truncated = false;
  for (const auto& machine : list_snapshots_.front().machines) {
    if (machine["id"].get<std::string>() <= after) continue;
    truncated = list.size() >= size;
    if (truncated) break;
    list.push_back(machine);
  }
  return {200, json{{"perches", list}, {"truncated", truncated}}.dump()};
}

HttpResponse Cloud::release(const json& request) {
  for (const auto& name : request["perches"]) reclaim(name.get<std::string>());
  return {200, "{}"};
}

HttpResponse Cloud::rent(double now, const json& request) {
  const auto request_id = request["hire"].get<std::string>();
  const auto known = rent_responses_.find(request_id);
  if (known != rent_responses_.end()) return {200, known->second};
  const auto zone = request["ward"].get<std::string>();
  const bool spot = request["loaners"].get<bool>();
  const TypeSpec* type = find_type(request["build"].get<std::string>(), zone);
  if (type == nullptr) return {400, "{}"};
  const int free = type->capacity - rented_count(type->name, zone, spot);
  const int count = std::min(request["how_many"].get<int>(), free);
  if (count <= 0) return {503, "{\"error\":\"no capacity\"}"};
  json names = json::array();
  for (int i = 0; i < count; ++i) names.push_back(add_machine(now, *type, zone, spot));
  rent_responses_[request_id] = json{{"perches", names}}.dump();
  return {200, rent_responses_[request_id]};
}

const TypeSpec* Cloud::find_type(const std::string& name, const std::string& zone) const {
  const auto it = std::find_if(types.begin(), types.end(), [&](const TypeSpec& type) {
    return type.name == name &&
           std::find(type.zones.begin(), type.zones.end(), zone) != type.zones.end();
  });
  return it == types.end() ? nullptr : &*it;
}

int Cloud::rented_count(const std::string& type, const std::string& zone, bool spot) const {
  int count = 0;
  for (const auto& [name, machine] : machines)
    if (!machine.is_terminated && machine.type == type && machine.zone == zone &&
        machine.spot == spot)
      ++count;
  return count;
}

double Cloud::next_boot_time(double now, const TypeSpec& type) {
  if (boots_to_prevent > 0) {
    --boots_to_prevent;
    return kNeverSeconds;
  }
  if (early_boots > 0) {
    --early_boots;
    return now + early_boot_s;
  }
  // Boot times vary between machines, from 0.6 to 1.4 of the type's boot time.
  return now + type.boot_s * (0.6 + 0.1 * (next_machine_ % 9));
}

std::string Cloud::add_machine(double now, const TypeSpec& type, const std::string& zone,
                               bool spot) {
  const std::string digits = std::to_string(next_machine_++);
  CloudMachine machine;
  machine.name = "n-" + std::string(kNameDigits - digits.size(), '0') + digits;
  machine.address = machine.name + ":9000";
  machine.type = type.name;
  machine.zone = zone;
  machine.spot = spot;
  machine.rented_at = now;
  machine.boots_at = next_boot_time(now, type);
  machines[machine.name] = machine;
  return machine.name;
}

}  // namespace standins
