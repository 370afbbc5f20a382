#include "rooksill/wire/cloud_codec.h"

#include <nlohmann/json.hpp>

#include "rooksill/model/machine.h"
#include "rooksill/wire/json_fields.h"

namespace rooksill::wire {

using nlohmann::json;

namespace {

// Parses a body as a JSON object and returns the result of `read` for it.
template <typename Read>
auto decode_body(const std::string& body, Read read) {
  return decode_with(Interface::kCloud, [&] { return read(parse_object(body)); });
}

model::MachineType read_type(const json& value) {
  model::MachineType type;
  type.name = required<std::string>(value, "label");
  type.capacity.cpus = required<double>(value, "cores");
  type.capacity.gpus = field_or<double>(value, "gpus", 0);
  type.capacity.memory_gb = required<double>(value, "memory_gb");
  type.cache_gb = field_or<double>(value, "local_gb", 0);
  type.fetch_gb_per_s = field_or<double>(value, "pull_gb_per_s", 1);
  type.price = required<double>(value, "hourly");
  type.spot_price = field_or<double>(value, "market_price", type.price);
  type.boot_s = required<double>(value, "ready_s");
  type.zones = required<std::vector<std::string>>(value, "wards");
  return type;
}

std::vector<model::MachineType> read_catalog(const json& value) {
  std::vector<model::MachineType> types;
  for (const auto& type : member(value, "builds")) types.push_back(read_type(type));
  return types;
}

ListedMachine read_machine(const json& value) {
  ListedMachine machine;
  machine.name = required<std::string>(value, "id");
  machine.address = field_or<std::string>(value, "address", "");
  machine.type = required<std::string>(value, "build");
  machine.zone = required<std::string>(value, "ward");
  machine.spot = required<bool>(value, "loaners");
  const auto cloud_status = required<std::string>(value, "status");
  machine.has_failed = cloud_status == "failed";
  machine.is_running = cloud_status == "running";
  machine.age_s = field_or<double>(value, "held_s", 0);
  return machine;
}

MachineListPage read_list(const json& value) {
  MachineListPage page;
  page.has_more = field_or<bool>(value, "truncated", false);
  for (const auto& machine : member(value, "perches"))
    page.machines.push_back(read_machine(machine));
  return page;
}

}  // namespace

Decoded<std::vector<model::MachineType>> parse_catalog(const std::string& body) {
  return decode_body(body, read_catalog);
}

Decoded<MachineListPage> parse_machine_list(const std::string& body) {
  return decode_body(body, read_list);
}

Decoded<std::vector<std::string>> parse_rented_names(const std::string& body) {
  return decode_body(
      body, [](const json& value) { return required<std::vector<std::string>>(value, "perches"); });
}

std::string encode_rental_request(const std::string& request_id, const std::string& type,
                                  const std::string& zone, bool spot, int count) {
  return json{
      {"hire", request_id}, {"build", type}, {"ward", zone}, {"loaners", spot}, {"how_many", count}}
      .dump();
}

std::string encode_release_request(const std::vector<std::string>& names) {
  return json{{"perches", names}}.dump();
}

}  // namespace rooksill::wire
