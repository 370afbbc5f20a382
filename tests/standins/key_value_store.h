// A simulated consensus-backed key-value store, implemented from the protocol specification.
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

// Linearizable: each request executes atomically when it arrives. Every change increments the
// store's revision. A key may be bound to a lease and is deleted when the lease expires; leases do
// not expire during an outage. The rates of requests and of writes are limited.
class KeyValueStore {
 public:
  // Called before handle() returns, except for watches, which receive a response when a watched key
  // changes or the watch times out.
  using ResponseHandler = std::function<void(const HttpResponse&)>;

  KeyValueStore(double requests_per_s, const StoreLimits& limits)
      : requests_per_s_(requests_per_s), limits_(limits) {}

  // Executes a request.
  void handle(double now, const HttpRequest& request, const ResponseHandler& on_response);
  // Expires leases and responds to watches that are due. Does nothing during an outage.
  void tick(double now);

  // Starts or ends an outage, during which the response to every request is 503. All leases restart
  // with their full TTL when it ends.
  void set_outage(double now, bool outage);
  // Replaces the limits, with immediate effect.
  void set_limits(const StoreLimits& limits) { limits_ = limits; }

  // Returns the value of a key, or null if the key does not exist.
  const nlohmann::json* value(const std::string& key) const;
  // Returns whether the upgrade record exists, which confirms that all controllers run the current
  // version.
  bool has_upgrade_record() const;

  // Returns violations of the store's limits, and records written before the upgrade record that
  // the first version could not read.
  const std::vector<std::string>& violations() const { return violations_; }
  // Counters since the start of the run.
  uint64_t requests() const { return requests_; }
  uint64_t refused_requests() const { return refused_requests_; }  // by the rate limits
  uint64_t writes() const { return writes_; }

 private:
  struct Item {
    nlohmann::json value;
    uint64_t revision = 0;
    uint64_t lease = 0;  // 0: not bound to a lease
  };
  struct Lease {
    double ttl_s = 0, expires_at = 0;
  };
  // A change of a key, kept for watches.
  struct Event {
    enum class Kind { kPut, kDelete } kind = Kind::kPut;
    uint64_t revision = 0;
    std::string key;
    nlohmann::json value;
  };
  // A watch that waits for changes of keys with a prefix.
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
  // Records violations of the limits of a transaction's size.
  void check_transaction_limits(const std::string& body, const nlohmann::json& writes,
                                const nlohmann::json& guards);
  nlohmann::json failed_guards(const nlohmann::json& guards) const;
  void apply_write(const nlohmann::json& write);
  // Records violations of the limits of a key and its value.
  void check_put(const std::string& key, const nlohmann::json& value);
  void erase(const std::string& key);

  void expire_leases(double now);
  void respond_to_watches(double now);
  // Returns whether a key with the prefix has changed after the revision.
  bool has_changes(const std::string& prefix, uint64_t after_revision) const;
  // Returns the changes of keys with the prefix after the revision.
  HttpResponse changes(const std::string& prefix, uint64_t after_revision) const;

  double requests_per_s_;
  StoreLimits limits_;
  double request_budget_ = 0, write_budget_ = 0;
  double last_request_ = -1;  // time of the last request; -1: none
  bool has_outage_ = false;
  uint64_t revision_ = 1, next_lease_ = 1;
  std::map<std::string, Item> items_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Event> events_;
  std::vector<Watch> watches_;
  std::vector<std::string> violations_;
  uint64_t requests_ = 0, refused_requests_ = 0, writes_ = 0;
};

}  // namespace standins
