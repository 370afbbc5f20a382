// A simulated cloud provider that rents out machines, implemented from the protocol specification.
#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/http_message.h"

namespace standins {

// A machine type that the cloud offers.
struct TypeSpec {
  std::string name;
  double cpus = 16, memory_gb = 64;
  double price = 1, spot_price = 0.4;  // for one hour
  double boot_s = 3;                   // typical time from the rental until the worker starts
  double fetch_gb_per_s = 1;           // rate at which images are fetched
  std::vector<std::string> zones;
  int capacity = 10;  // machines in each zone, separately for spot and on-demand
};

// A machine that has been rented.
struct CloudMachine {
  std::string name, address, type, zone;
  bool spot = false;
  bool is_booted = false, is_terminated = false;
  double rented_at = 0, boots_at = 0;  // simulated times
};

// Rents out machines while it has capacity, returns a list of machines that lags behind their
// state, and limits the request rate.
class Cloud {
 public:
  Cloud(double requests_per_s, double list_lag_s)
      : requests_per_s_(requests_per_s), list_lag_s_(list_lag_s) {}

  // Executes a request and returns its response.
  HttpResponse handle(double now, const HttpRequest& request);
  // Boots machines that are due, refills the request budget and updates the machine list.
  void tick(double now);
  // Terminates a machine, on its release or when a spot machine is reclaimed.
  void reclaim(const std::string& name);

  std::vector<TypeSpec> types;                              // the catalog
  std::map<std::string, CloudMachine> machines;             // all ever rented, by name
  std::vector<std::string> newly_booted, newly_terminated;  // names; emptied by the reader
  bool has_outage = false;                                  // the response to every request is 503
  int boots_to_prevent = 0;  // how many of the next rented machines never boot
  int early_boots = 0;       // how many of the next rented machines boot after early_boot_s
  double early_boot_s = 0;

 private:
  void refill_budget(double now);
  HttpResponse catalog() const;
  HttpResponse list_page(const std::string& target) const;
  HttpResponse release(const nlohmann::json& request);
  HttpResponse rent(double now, const nlohmann::json& request);
  const TypeSpec* find_type(const std::string& name, const std::string& zone) const;
  // Returns how many machines are currently rented.
  int rented_count(const std::string& type, const std::string& zone, bool spot) const;
  double next_boot_time(double now, const TypeSpec& type);
  std::string add_machine(double now, const TypeSpec& type, const std::string& zone, bool spot);
  // Returns the current state of the machine list.
  nlohmann::json machine_list() const;

  // The state of the machine list at one time.
  struct ListSnapshot {
    double taken_at = 0;
    nlohmann::json machines;
  };

  double requests_per_s_, list_lag_s_;
  double request_budget_ = -1;  // -1: not filled yet
  double last_tick_ = 0;
  // By request ID; a repeated request gets the same response and rents nothing more.
  std::map<std::string, std::string> rent_responses_;
  std::deque<ListSnapshot> list_snapshots_;  // oldest first; the first is returned to readers
  int next_machine_ = 1;
};

}  // namespace standins
