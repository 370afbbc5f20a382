// Messages between controllers and the cloud provider.
//
//   catalogue:  builds -> machine types
//   a type:     label -> name, cores -> CPUs, gpus, memory_gb, local_gb -> cache GB,
//               pull_gb_per_s -> fetch GB/s, hourly -> price, market_price -> spot price,
//               ready_s -> boot s, wards -> zones
//   list:       perches -> machines, truncated -> more
//   a machine:  id -> name, address, build -> type, ward -> zone, loaners -> spot,
//               status -> failed or running, held_s -> age s
//   rental:     hire -> request, build -> type, ward -> zone, loaners -> spot, how_many -> count
//   rented and release:  perches -> names of machines
#pragma once

#include <string>
#include <vector>

#include "rooksill/model/machine.h"
#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

// A machine that the cloud says is rented.
struct ListedMachine {
  std::string name;
  std::string address;  // empty: none yet
  std::string type;
  std::string zone;
  bool spot = false;
  bool has_failed = false;   // with neither this nor `running`: it is booting
  bool is_running = false;  // never together with `failed`
  double age_s = 0;      // since it was rented
};

// A part of the list of rented machines.
struct MachineListPage {
  std::vector<ListedMachine> machines;
  bool has_more = false;  // the list goes on after the last of these
};

Decoded<std::vector<model::MachineType>> parse_catalog(const std::string& body);
Decoded<MachineListPage> parse_machine_list(const std::string& body);
// The names of the machines that a request rented.
Decoded<std::vector<std::string>> parse_rented_names(const std::string& body);

// `request` names the request: the cloud answers a repeated one as it answered it the first time.
std::string encode_rental_request(const std::string& request_id, const std::string& type,
                          const std::string& zone, bool spot, int count);
std::string encode_release_request(const std::vector<std::string>& names);

}  // namespace rooksill::wire
