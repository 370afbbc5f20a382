// Stand-in for the cloud that rents machines out, written from the protocol.
#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/http_message.h"

namespace standins {

struct TypeSpec {
  std::string name;
  double cpus = 16, memory_gb = 64;
  double price = 1, spot_price = 0.4;  // for an hour
  double boot_s = 3, fetch_gb_per_s = 1;
  std::vector<std::string> zones;
  int capacity = 10;  // machines in each zone, of spot and on-demand each
};

struct CloudMachine {
  std::string name, address, type, zone;
  bool spot = false;
  bool is_booted = false, is_terminated = false;  // booted; ended
  double rented_at = 0, boots_at = 0;
};

// Grants machines while it has capacity, lists them with a lag, and limits the rate of requests.
class Cloud {
 public:
  Cloud(double requests_per_s, double list_lag_s)
      : requests_per_s_(requests_per_s), list_lag_s_(list_lag_s) {}

  HttpResponse handle(double now, const HttpRequest& request);
  // Boots machines that are due and takes a new state of the list.
  void tick(double now);
  // Ends a machine, as at its release or when a spot machine is taken back.
  void reclaim(const std::string& name);

  std::vector<TypeSpec> types;
  std::map<std::string, CloudMachine> machines;
  std::vector<std::string> newly_booted, newly_terminated;  // names, until the reader empties the lists
  bool outage = false;
  int boots_to_prevent = 0;  // so many of the next machines stay booting

 private:
  void refill_budget(double now);
  HttpResponse catalog() const;
  HttpResponse list_page(const std::string& target) const;
  HttpResponse release(const nlohmann::json& request);
  HttpResponse rent(double now, const nlohmann::json& request);
  const TypeSpec* find_type(const std::string& name, const std::string& zone) const;
  int rented(const std::string& type, const std::string& zone, bool spot) const;
  std::string add_machine(double now, const TypeSpec& type, const std::string& zone, bool spot);
  nlohmann::json listing() const;

  struct ListSnapshot {
    double taken_at = 0;
    nlohmann::json machines;
  };

  double requests_per_s_, list_lag_s_;
  double request_budget_ = -1;  // -1: not filled yet
  double last_tick_ = 0;
  std::map<std::string, std::string> rent_responses_;  // by request ID: a repeat rents nothing
  std::deque<ListSnapshot> list_snapshots_;          // the first is the one that is shown
  int next_machine_ = 1;
};

}  // namespace standins
