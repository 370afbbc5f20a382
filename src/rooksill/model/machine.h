// Machines and their types, as every controller knows them from the key-value store.
#pragma once

#include <string>
#include <vector>

#include "rooksill/model/resources.h"

namespace rooksill::model {

// One entry of the cloud's catalogue.
struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0;        // of images
  double fetch_gb_per_s = 1;  // at which images are fetched
  double price = 0;           // an hour
  double spot_price = 0;      // an hour
  double boot_s = 30;
  std::vector<std::string> zones;
};

// A machine in a partition. It stays in its partition until it is gone for certain.
struct Machine {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int partition = 0;
  int page = 0;       // of its partition's list
  double rented_at = 0;  // wall clock, in whole seconds
};

// Boot times after which a machine that has not reported is not counted on any more.
inline constexpr double kLateBootRatio = 2.5;

}  // namespace rooksill::model
