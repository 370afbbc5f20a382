#include "rooksill/wire/cloud_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "rooksill/model/machine.h"

namespace rooksill::wire {

using nlohmann::json;

std::optional<std::vector<model::MachineType>> parse_catalog(const std::string& body) try {
  json j = json::parse(body, nullptr, false);
  if (!j.is_object()) return std::nullopt;
  std::vector<model::MachineType> out;
  for (const auto& b : j.at("builds")) {
    model::MachineType t;
    t.name = b.at("label").get<std::string>();
    t.capacity.cpus = b.at("cores").get<double>();
    t.capacity.gpus = b.value("gpus", 0.0);
    t.capacity.memory_gb = b.at("memory_gb").get<double>();
    t.cache_gb = b.value("local_gb", 0.0);
    t.fetch_gb_per_s = b.value("pull_gb_per_s", 1.0);
    t.price = b.at("hourly").get<double>();
    t.spot_price = b.value("market_price", t.price);
    t.boot_s = b.at("ready_s").get<double>();
    t.zones = b.at("wards").get<std::vector<std::string>>();
    out.push_back(std::move(t));
  }
  return out;
} catch (const json::exception&) {
  return std::nullopt;
}

std::optional<ListPage> parse_list(const std::string& body) try {
  json j = json::parse(body, nullptr, false);
  if (!j.is_object()) return std::nullopt;
  ListPage page;
  page.more = j.value("truncated", false);
  for (const auto& p : j.at("perches")) {
    ListedMachine m;
    m.name = p.at("id").get<std::string>();
    m.address = p.value("address", "");
    m.type = p.at("build").get<std::string>();
    m.zone = p.at("ward").get<std::string>();
    m.spot = p.at("loaners").get<bool>();
    const auto status = p.at("status").get<std::string>();
    m.failed = status == "failed";
    m.running = status == "running";
    m.age_s = p.value("held_s", 0.0);
    page.machines.push_back(std::move(m));
  }
  return page;
} catch (const json::exception&) {
  return std::nullopt;
}

std::optional<std::vector<std::string>> parse_rented(const std::string& body) try {
  json j = json::parse(body, nullptr, false);
  if (!j.is_object()) return std::nullopt;
  return j.at("perches").get<std::vector<std::string>>();
} catch (const json::exception&) {
  return std::nullopt;
}

std::string encode_rental(const std::string& request, const std::string& type,
                          const std::string& zone, bool spot, int count) {
  return json{
      {"hire", request}, {"build", type}, {"ward", zone}, {"loaners", spot}, {"how_many", count}}
      .dump();
}

std::string encode_release(const std::vector<std::string>& names) {
  return json{{"perches", names}}.dump();
}

}  // namespace rooksill::wire
