// Stand-in for the consensus-backed key-value store, written from the protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/http_message.h"
#include "standins/world_options.h"

namespace standins {

// Linearizable: each request executes whole when it arrives. Every change raises the store's
// revision. Keys may be bound to a lease and vanish when it expires; leases do not expire during an
// outage. Requests and writes are limited by rate.
class KeyValueStore {
 public:
  // Called at once, except for watches, which are answered when there is news or they time out.
  using ResponseHandler = std::function<void(const HttpResponse&)>;

  KeyValueStore(double requests_per_s, const StoreLimits& limits)
      : requests_per_s_(requests_per_s), limits_(limits) {}

  void handle(double now, const HttpRequest& request, const ResponseHandler& on_response);
  // Expires leases and answers watches.
  void tick(double now);

  // During an outage every request is answered 503. Leases begin anew at its end.
  void set_outage(double now, bool outage);
  // Takes effect at once.
  void set_limits(const StoreLimits& limits) { limits_ = limits; }

  // Null if there is no such key.
  const nlohmann::json* value(const std::string& key) const;
  // Whether the controllers have recorded that all of them have the present version.
  bool has_upgrade_record() const;

  // Limits that a request passed, and records that the first version could not read.
  const std::vector<std::string>& violations() const { return violations_; }
  uint64_t requests() const { return requests_; }
  uint64_t refused_requests() const { return refused_requests_; }  // for want of rate
  uint64_t writes() const { return writes_; }

 private:
  struct Item {
    nlohmann::json value;
    uint64_t revision = 0;
    uint64_t lease = 0;  // 0: bound to none
  };
  struct Lease {
    double ttl_s = 0, expires_at = 0;
  };
  struct Event {
    enum class Kind { kPut, kDelete } kind = Kind::kPut;
    uint64_t revision = 0;
    std::string key;
    nlohmann::json value;
  };
  struct Watch {
    std::string prefix;
    uint64_t after_revision = 0;
    double expires_at = 0;
    ResponseHandler on_response;
  };

  void refill_budgets(double now);
  void execute(double now, const HttpRequest& request, const ResponseHandler& on_response);
  HttpResponse get(const std::string& key) const;
  HttpResponse list(const std::string& target) const;
  HttpResponse grant_lease(double now, const std::string& body);
  HttpResponse renew_or_revoke_lease(double now, const HttpRequest& request);
  void watch(double now, const std::string& target, const ResponseHandler& on_response);

  HttpResponse transact(const std::string& body);
  void check_transaction_limits(const std::string& body, const nlohmann::json& writes,
                                const nlohmann::json& guards);
  nlohmann::json failed_guards(const nlohmann::json& guards) const;
  void apply_write(const nlohmann::json& write);
  void check_put(const std::string& key, const nlohmann::json& value);
  void erase(const std::string& key);

  void expire_leases(double now);
  void respond_to_watches(double now);
  bool has_changes(const std::string& prefix, uint64_t after_revision) const;
  HttpResponse changes(const std::string& prefix, uint64_t after_revision) const;

  double requests_per_s_;
  StoreLimits limits_;
  double request_budget_ = 0, write_budget_ = 0;
  double last_request_ = -1;  // -1: none yet
  bool outage_ = false;
  uint64_t revision_ = 1, next_lease_ = 1;
  std::map<std::string, Item> items_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Event> events_;
  std::vector<Watch> watches_;
  std::vector<std::string> violations_;
  uint64_t requests_ = 0, refused_requests_ = 0, writes_ = 0;
};

}  // namespace standins
