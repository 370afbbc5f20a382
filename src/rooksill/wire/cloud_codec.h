// The wire between controllers and the cloud.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rooksill/model/machine.h"

namespace rooksill::wire {

struct ListedMachine {
  std::string name, address, type, zone;
  bool spot = false, failed = false, running = false;
  double age_s = 0;
};

struct ListPage {
  std::vector<ListedMachine> machines;
  bool more = false;
};

std::optional<std::vector<model::MachineType>> parse_catalog(const std::string& body);
std::optional<ListPage> parse_list(const std::string& body);
std::optional<std::vector<std::string>> parse_rented(const std::string& body);
std::string encode_rental(const std::string& request, const std::string& type,
                          const std::string& zone, bool spot, int count);
std::string encode_release(const std::vector<std::string>& names);

}  // namespace rooksill::wire
