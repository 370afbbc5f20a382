// Stand-in for the store, written from the protocol.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace standins {

struct Answer {
  int status = 0;
  std::string body;
};

class StateService {
 public:
  StateService(double rps, double write_rps, size_t value_bytes, size_t txn_ops)
      : rps_(rps), write_rps_(write_rps), value_bytes_(value_bytes), txn_ops_(txn_ops) {}

  // `later` is called when a watch has its answer; everything else answers at once.
  using Later = std::function<void(Answer)>;
  void handle(double now, const std::string& method, const std::string& path,
              const std::string& body, Later later);
  void tick(double now);  // ends leases and watches
  void set_outage(double now, bool on);
  // From now on a larger value or transaction gets 400.
  void lower(double write_rps, size_t value_bytes, size_t txn_ops) {
    write_rps_ = write_rps;
    value_bytes_ = value_bytes;
    txn_ops_ = txn_ops;
  }

  std::vector<std::string> broken;  // limits that were passed
  uint64_t refused = 0, requests = 0, writes = 0;
  const nlohmann::json* value(const std::string& key) const {
    auto it = items_.find(key);
    return it == items_.end() ? nullptr : &it->second.value;
  }

 private:
  struct Item {
    nlohmann::json value;
    uint64_t revision = 0, lease = 0;
  };
  struct Lease {
    double ttl = 0, ends = 0;
  };
  struct Event {
    uint64_t revision;
    std::string key;
    bool put;
    nlohmann::json value;
  };
  struct Watch {
    std::string prefix;
    uint64_t from;
    double ends;
    Later later;
  };
  Answer answer(double now, const std::string& method, const std::string& path,
                const std::string& body, Later& later, bool& waits);
  Answer txn(double now, const std::string& body);
  std::string news(const std::string& prefix, uint64_t from) const;
  bool has_news(const std::string& prefix, uint64_t from) const;
  void erase(const std::string& key);
  void serve_watches(double now);

  double rps_, write_rps_;
  size_t value_bytes_, txn_ops_;
  double tokens_ = 0, write_tokens_ = 0, last_ = -1;
  bool outage_ = false;
  uint64_t revision_ = 1, next_lease_ = 1;
  std::map<std::string, Item> items_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Event> events_;
  std::vector<Watch> watches_;
};

}  // namespace standins
