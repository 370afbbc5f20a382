#include "standins/machine_listings.h"

#include <nlohmann/json.hpp>

#include "rooksill/wire/decoded.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace standins {

namespace wire = rooksill::wire;
using Page = std::map<std::string, rooksill::model::Machine>;

namespace {

constexpr int kMaxPages = 100;  // of a partition; pages may be missing in between

Page read_page(const KeyValueStore& store, int partition, int page) {
  const nlohmann::json* value = store.value(wire::machines_key(partition, page));
  if (value == nullptr) return {};
  auto machines = wire::decode_machines(*value);
  return machines ? *machines : Page{};
}

void write_first_page(double now, KeyValueStore& store, int partition, const Page& machines) {
  const nlohmann::json write = {{"put", wire::machines_key(partition, 0)},
                                {"v", wire::encode_machines(machines)}};
  const nlohmann::json transaction = {{"guards", nlohmann::json::array()}, {"writes", {write}}};
  store.handle(now, {"POST", "/txn", transaction.dump()}, [](const HttpResponse&) {});
}

}  // namespace

std::map<std::string, std::vector<rooksill::model::Machine>> machine_listings(
    const KeyValueStore& store, size_t partitions) {
  std::map<std::string, std::vector<rooksill::model::Machine>> listings;
  for (int partition = 0; partition < static_cast<int>(partitions); ++partition) {
    for (int page = 0; page < kMaxPages; ++page) {
      for (auto [name, machine] : read_page(store, partition, page)) {
        machine.partition = partition;
        machine.page = page;
        listings[name].push_back(machine);
      }
    }
  }
  return listings;
}

std::vector<std::string> duplicate_listings(const KeyValueStore& store, size_t partitions) {
  std::vector<std::string> descriptions;
  for (const auto& [name, entries] : machine_listings(store, partitions)) {
    if (entries.size() < 2) continue;
    descriptions.push_back(name + " is listed " + std::to_string(entries.size()) +
                           " times: in partition " + std::to_string(entries[0].partition) +
                           " and " + std::to_string(entries[1].partition));
  }
  return descriptions;
}

void list_machines_twice(double now, KeyValueStore& store, size_t partitions,
                         const std::vector<std::string>& names, double later_s) {
  const auto listings = machine_listings(store, partitions);
  for (const auto& name : names) {
    const auto listing = listings.find(name);
    if (listing == listings.end()) continue;
    rooksill::model::Machine copy = listing->second.front();
    copy.rented_at += later_s;
    const int next = (copy.partition + 1) % static_cast<int>(partitions);
    Page machines = read_page(store, next, 0);
    machines[name] = copy;
    write_first_page(now, store, next, machines);
  }
}

}  // namespace standins
