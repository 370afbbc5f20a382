#include "standins/cloud.h"

#include <algorithm>

namespace standins {

using nlohmann::json;

namespace {
constexpr size_t kPage = 500;       // the protocol's most
constexpr double kListEvery = 0.2;  // s between two states of the list
}  // namespace

json Cloud::listing() const {
  json list = json::array();
  for (const auto& [n, m] : machines) {
    if (m.gone) continue;
    list.push_back({{"id", n},
                    {"address", m.address},
                    {"build", m.type},
                    {"ward", m.zone},
                    {"loaners", m.spot},
                    {"status", m.failed ? "failed"
                               : m.up   ? "running"
                                        : "booting"},
                    {"held_s", last_ - m.rented}});
  }
  return list;
}

std::string Cloud::page(const std::string& path) const {
  auto word = [&](const std::string& name) -> std::string {
    auto at = path.find(name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 1;
    return path.substr(at, path.find('&', at) - at);
  };
  const std::string from = word("from");
  const size_t most = word("most").empty() ? kPage : std::stoul(word("most"));
  json list = json::array();
  bool truncated = false;
  for (const auto& m : lists_.front().second) {
    if (m["id"].get<std::string>() <= from) continue;
    truncated = list.size() >= std::min(most, kPage);
    if (truncated) break;
    list.push_back(m);
  }
  return json{{"perches", list}, {"truncated", truncated}}.dump();
}

void Cloud::tick(double now) {
  for (auto& [n, m] : machines)
    if (!m.gone && !m.up && now >= m.boots_at) {
      m.up = true;
      booted.push_back(n);
    }
  for (const auto& [n, m] : machines) {
    if (m.gone || m.failed) continue;
    for (const auto& t : types)
      if (t.name == m.type) cost += (now - last_) * (m.spot ? t.spot_price : t.price) / 3600;
  }
  if (tokens_ < 0) tokens_ = 2 * rps_;
  tokens_ = std::min(2 * rps_, tokens_ + (now - last_) * rps_);
  last_ = now;
  if (lists_.empty() || now - lists_.back().first >= kListEvery)
    lists_.emplace_back(now, listing());
  while (lists_.size() > 1 && lists_[1].first <= now - lag_) lists_.pop_front();
}

void Cloud::take(const std::string& name) {
  auto it = machines.find(name);
  if (it == machines.end() || it->second.gone) return;
  it->second.gone = true;
  ended.push_back(name);
}

Answer Cloud::handle(double now, const std::string& method, const std::string& path,
                     const std::string& body) {
  tick(now);
  if (outage) return {503, "{\"error\":\"trouble\"}"};
  if (tokens_ < 1) return {429, "{}"};
  tokens_ -= 1;
  if (method == "GET" && path == "/catalog") {
    json list = json::array();
    for (const auto& t : types)
      list.push_back({{"label", t.name},
                      {"cores", t.cpus},
                      {"gpus", 0},
                      {"memory_gb", t.memory_gb},
                      {"local_gb", 60},
                      {"pull_gb_per_s", t.fetch_gb_per_s},
                      {"hourly", t.price},
                      {"market_price", t.spot_price},
                      {"ready_s", t.boot_s},
                      {"wards", t.zones}});
    return {200, json{{"builds", list}}.dump()};
  }
  if (method == "GET") return {200, page(path)};
  json j = json::parse(body, nullptr, false);
  if (!j.is_object()) return {400, "{}"};
  if (path == "/hosts/release") {
    for (const auto& n : j["perches"]) take(n.get<std::string>());
    return {200, "{}"};
  }
  const auto request = j["hire"].get<std::string>();
  auto known = answers_.find(request);
  if (known != answers_.end()) {
    return {200, known->second};
  }
  const auto type = j["build"].get<std::string>();
  const auto zone = j["ward"].get<std::string>();
  const bool spot = j["loaners"].get<bool>();
  const TypeSpec* spec = nullptr;
  for (const auto& t : types)
    if (t.name == type && std::find(t.zones.begin(), t.zones.end(), zone) != t.zones.end())
      spec = &t;
  if (spec == nullptr) return {400, "{}"};
  int used = 0;
  for (const auto& [n, m] : machines)
    if (!m.gone && m.type == type && m.zone == zone && m.spot == spot) ++used;
  const int count = std::min(j["how_many"].get<int>(), spec->capacity - used);
  if (count <= 0) return {503, "{\"error\":\"no capacity\"}"};
  json names = json::array();
  for (int i = 0; i < count; ++i) {
    CloudMachine m;
    std::string digits = std::to_string(next_++);
    m.name = "n-" + std::string(6 - digits.size(), '0') + digits;
    m.address = m.name + ":9000";
    m.type = type;
    m.zone = zone;
    m.spot = spot;
    m.rented = now;
    m.boots_at = never_boot > 0 ? 1e18 : now + spec->boot_s * (0.6 + 0.1 * (next_ % 9));
    if (never_boot > 0) --never_boot;
    names.push_back(m.name);
    machines[m.name] = m;
  }
  answers_[request] = json{{"perches", names}}.dump();
  return {200, answers_[request]};
}

}  // namespace standins
