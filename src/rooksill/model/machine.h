// Machines and their types, as read from the key-value store.
#pragma once

#include <compare>
#include <string>
#include <vector>

#include "rooksill/model/resources.h"

namespace rooksill::model {

// A machine type from the cloud provider's catalog.
struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0;             // size of the image cache
  double fetch_gb_per_s = 1;       // download rate for images
  double price = 0;                // per hour, on demand
  double spot_price = 0;           // per hour, as a spot machine
  double boot_s = 30;              // typical boot time
  std::vector<std::string> zones;  // zones that offer the type
};

// Identifies a page of a partition's machine list. Each page is one value in the store.
struct MachinePageId {
  int partition = 0;
  int page = 0;
  auto operator<=>(const MachinePageId&) const = default;
};

// A rented machine. It belongs to the same partition until it is confirmed to be gone.
struct Machine {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int partition = 0;
  int page = 0;          // page of its partition's machine list
  double rented_at = 0;  // wall clock, in whole seconds

  // Returns the page that contains the machine.
  MachinePageId page_id() const { return {partition, page}; }
};

// A machine that has sent no heartbeat for this multiple of its type's boot time after its rental
// is no longer expected to come up.
inline constexpr double kLateBootRatio = 2.5;

}  // namespace rooksill::model
