// Messages between controllers and the cloud provider's API, in JSON.
//
// The provider's field names and the terms used for them in this code:
//
//   catalog:    builds -> machine types
//   a type:     label -> name, cores -> CPUs, gpus, memory_gb, local_gb -> cache GB,
//               pull_gb_per_s -> fetch GB/s, hourly -> price, market_price -> spot price,
//               ready_s -> boot s, wards -> zones
//   list:       perches -> machines, truncated -> has_more
//   a machine:  id -> name, address, build -> type, ward -> zone, loaners -> spot,
//               status -> has_failed or is_running, held_s -> age s
//   rental:     hire -> request id, build -> type, ward -> zone, loaners -> spot, how_many -> count
//   rented and release:  perches -> machine names
#pragma once

#include <string>
#include <vector>

#include "rooksill/model/machine.h"
#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

// A rented machine, as listed by the provider.
struct ListedMachine {
  std::string name;
  std::string address;  // host:port; empty: not assigned yet
  std::string type;     // name of its machine type
  std::string zone;
  bool spot = false;
  bool has_failed = false;  // a machine that has neither failed nor is running is booting
  bool is_running = false;  // never together with `has_failed`
  double age_s = 0;         // time since it was rented
};

// A page of the list of rented machines.
struct MachineListPage {
  std::vector<ListedMachine> machines;
  bool has_more = false;  // further pages follow
};

// Decodes the provider's catalog of machine types.
Decoded<std::vector<model::MachineType>> parse_catalog(const std::string& body);
// Decodes a page of the list of rented machines.
Decoded<MachineListPage> parse_machine_list(const std::string& body);
// Decodes the response to a rental request: the names of the rented machines.
Decoded<std::vector<std::string>> parse_rented_names(const std::string& body);

// Returns the body of a rental request. `request_id` is an idempotency key: the provider answers a
// repeated request as it answered the first one.
std::string encode_rental_request(const std::string& request_id, const std::string& type,
                                  const std::string& zone, bool spot, int count);
// Returns the body of a request to release machines.
std::string encode_release_request(const std::vector<std::string>& names);

}  // namespace rooksill::wire
