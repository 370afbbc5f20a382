// Stand-in for the cloud, written from the protocol.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "standins/state_service.h"

namespace standins {

struct TypeSpec {
  std::string name;
  double cpus = 16, memory_gb = 64, price = 1, spot_price = 0.4, boot_s = 3, fetch_gb_per_s = 1;
  std::vector<std::string> zones;
  int capacity = 10;  // for each zone and kind
};

struct CloudMachine {
  std::string name, address, type, zone;
  bool spot = false, up = false, failed = false, gone = false;
  double rented = 0, boots_at = 0;
};

class Cloud {
 public:
  Cloud(double rps, double lag) : rps_(rps), lag_(lag) {}
  Answer handle(double now, const std::string& method, const std::string& path,
                const std::string& body);
  void tick(double now);
  void take(const std::string& name);

  std::vector<TypeSpec> types;
  std::map<std::string, CloudMachine> machines;
  std::vector<std::string> booted;  // since last looked at
  std::vector<std::string> ended;
  std::set<std::string> names_used;
  std::vector<std::string> broken;
  bool outage = false;
  int never_boot = 0;  // the next so many machines stay booting
  double cost = 0;

 private:
  nlohmann::json listing() const;
  std::string page(const std::string& path) const;
  double rps_, lag_;
  double tokens_ = -1, last_ = 0;
  std::map<std::string, std::string> answers_;
  std::deque<std::pair<double, nlohmann::json>> lists_;
  int next_ = 1;
};

}  // namespace standins
