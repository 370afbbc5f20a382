#include "standins/key_value_store.h"

#include <algorithm>

#include "standins/first_version.h"

namespace standins {

using nlohmann::json;

namespace {

constexpr size_t kDefaultPageEntries = 1000;
constexpr size_t kMaxTransactionBytes = size_t{64} * 1024;
constexpr size_t kGuardsPerWrite = 4;  // limit of guards, per write that the limits allow
constexpr size_t kMaxKeyBytes = 200;
constexpr char kUpgradeRecord[] = "rk/upgrade";
constexpr char kStorePath[] = "/store/";
constexpr char kLeasePath[] = "/grants/";

using Query = std::map<std::string, std::string>;

Query parse_query(const std::string& target) {
  Query parameters;
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const auto equals = part.find('=');
    if (equals != std::string::npos) parameters[part.substr(0, equals)] = part.substr(equals + 1);
    at = end;
  }
  return parameters;
}

bool starts_with(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string after_prefix(const std::string& text, const char* prefix) {
  return text.substr(std::string(prefix).size());
}

}  // namespace

const json* KeyValueStore::value(const std::string& key) const {
  auto it = items_.find(key);
  return it == items_.end() ? nullptr : &it->second.value;
}

bool KeyValueStore::has_upgrade_record() const { return value(kUpgradeRecord) != nullptr; }

void KeyValueStore::set_outage(double now, bool outage) {
  if (has_outage_ && !outage)
    for (auto& [id, lease] : leases_) lease.expires_at = now + lease.ttl_s;
  has_outage_ = outage;
}

void KeyValueStore::tick(double now) {
  if (has_outage_) return;
  expire_leases(now);
  respond_to_watches(now);
}

// ---- requests ------------------------------------------------------------------------------

void KeyValueStore::handle(double now, const HttpRequest& request,
                           const ResponseHandler& on_response) {
  tick(now);
  ++requests_;
  if (has_outage_) return on_response({503, "{}"});
  refill_budgets(now);
  if (request_budget_ < 1) {
    ++refused_requests_;
    return on_response({429, "{}"});
  }
  request_budget_ -= 1;
  execute(now, request, on_response);
  respond_to_watches(now);
}

void KeyValueStore::refill_budgets(double now) {
  if (last_request_ < 0) {
    request_budget_ = requests_per_s_;
    write_budget_ = limits_.writes_per_s;
  } else {
    const double elapsed = now - last_request_;
    request_budget_ = std::min(requests_per_s_, request_budget_ + elapsed * requests_per_s_);
    write_budget_ = std::min(limits_.writes_per_s, write_budget_ + elapsed * limits_.writes_per_s);
  }
  last_request_ = now;
}

void KeyValueStore::execute(double now, const HttpRequest& request,
                            const ResponseHandler& on_response) {
  const bool is_get = request.method == "GET", is_post = request.method == "POST";
  const std::string& target = request.target;
  if (is_post && target == "/txn") return on_response(transact(request.body));
  if (is_get && starts_with(target, "/watch")) return watch(now, target, on_response);
  if (is_get && starts_with(target, kStorePath))
    return on_response(get(after_prefix(target, kStorePath)));
  if (is_get && starts_with(target, "/store?")) return on_response(list(target));
  if (is_post && target == "/grants") return on_response(grant_lease(now, request.body));
  if (starts_with(target, kLeasePath)) return on_response(renew_or_revoke_lease(now, request));
  on_response({400, "{}"});
}

HttpResponse KeyValueStore::get(const std::string& key) const {
  auto it = items_.find(key);
  if (it == items_.end()) return {404, json{{"epoch", revision_}}.dump()};
  return {200, json{{"k", key}, {"v", it->second.value}, {"stamp", it->second.revision}}.dump()};
}

HttpResponse KeyValueStore::list(const std::string& target) const {
  Query query = parse_query(target);
  const size_t limit = query.count("most") != 0 ? std::stoul(query["most"]) : kDefaultPageEntries;
  json items = json::array();
  bool truncated = false;
  for (auto it = items_.upper_bound(query["from"]); it != items_.end(); ++it) {
    if (!starts_with(it->first, query["starts"])) continue;
    truncated = items.size() >= limit;
    if (truncated) break;
    items.push_back({{"k", it->first}, {"v", it->second.value}, {"stamp", it->second.revision}});
  }
  return {200, json{{"items", items}, {"truncated", truncated}, {"epoch", revision_}}.dump()};
}

HttpResponse KeyValueStore::grant_lease(double now, const std::string& body) {
  const json request = json::parse(body);
  const uint64_t id = next_lease_++;
  const double ttl_s = request["ttl_ms"].get<double>() / 1000;
  leases_[id] = {ttl_s, now + ttl_s};
  return {200, json{{"hold", id}}.dump()};
}

HttpResponse KeyValueStore::renew_or_revoke_lease(double now, const HttpRequest& request) {
  auto it = leases_.find(std::stoull(after_prefix(request.target, kLeasePath)));
  if (it == leases_.end()) return {404, "{}"};
  Lease& lease = it->second;
  if (request.method == "DELETE") {
    lease.expires_at = now;
    tick(now);
  } else {
    lease.expires_at = now + lease.ttl_s;
  }
  return {200, "{}"};
}

// ---- transactions --------------------------------------------------------------------------

HttpResponse KeyValueStore::transact(const std::string& body) {
  json transaction = json::parse(body, nullptr, false);
  if (!transaction.is_object()) return {400, "{}"};
  const json& writes = transaction["writes"];
  const json& guards = transaction["guards"];
  check_transaction_limits(body, writes, guards);
  if (write_budget_ < static_cast<double>(writes.size())) {
    ++refused_requests_;
    return {429, "{}"};
  }
  write_budget_ -= static_cast<double>(writes.size());
  for (const auto& write : writes)
    if (write.contains("hold") && leases_.count(write["hold"].get<uint64_t>()) == 0)
      return {400, "{\"error\":\"no such lease\"}"};
  const json failed = failed_guards(guards);
  if (!failed.empty()) return {409, json{{"failed", failed}, {"epoch", revision_}}.dump()};
  if (!writes.empty()) ++revision_;
  for (const auto& write : writes) apply_write(write);
  return {200, json{{"epoch", revision_}}.dump()};
}

void KeyValueStore::check_transaction_limits(const std::string& body, const json& writes,
                                             const json& guards) {
  if (writes.size() > limits_.transaction_writes)
    violations_.push_back("transaction with too many writes");
  if (guards.size() > kGuardsPerWrite * limits_.transaction_writes)
    violations_.push_back("transaction with too many guards");
  if (body.size() > kMaxTransactionBytes) violations_.push_back("transaction too large");
}

// Returns the keys whose revision differs from the one that the transaction expects. The revision
// of a key that does not exist is 0.
json KeyValueStore::failed_guards(const json& guards) const {
  json failed = json::array();
  for (const auto& guard : guards) {
    auto it = items_.find(guard["k"].get<std::string>());
    const uint64_t revision = it == items_.end() ? 0 : it->second.revision;
    if (revision != guard["stamp"].get<uint64_t>()) failed.push_back(guard["k"]);
  }
  return failed;
}

void KeyValueStore::apply_write(const json& write) {
  ++writes_;
  if (write.contains("delete")) return erase(write["delete"].get<std::string>());
  const auto key = write["put"].get<std::string>();
  const json& value = write["v"];
  check_put(key, value);
  const uint64_t lease = write.contains("hold") ? write["hold"].get<uint64_t>() : 0;
  items_[key] = {value, revision_, lease};
  events_.push_back({Event::Kind::kPut, revision_, key, value});
}

void KeyValueStore::check_put(const std::string& key, const json& value) {
  if (value.dump().size() > limits_.value_bytes) violations_.push_back("value too large: " + key);
  // Until all controllers have the current version, one of the first version may read the value.
  if (!has_upgrade_record() && !is_ignored_by_first_version(key)) {
    const std::string unknown = unknown_to_first_version(key, value);
    if (!unknown.empty()) violations_.push_back("unknown to the first version: " + unknown);
  }
  if (key.size() > kMaxKeyBytes || key.find(' ') != std::string::npos)
    violations_.push_back("invalid key " + key);
}

void KeyValueStore::erase(const std::string& key) {
  if (items_.erase(key) == 0) return;
  events_.push_back({Event::Kind::kDelete, revision_, key, {}});
}

// ---- leases and watches --------------------------------------------------------------------

void KeyValueStore::expire_leases(double now) {
  std::vector<uint64_t> expired;
  for (const auto& [id, lease] : leases_)
    if (now >= lease.expires_at) expired.push_back(id);
  for (const uint64_t id : expired) {
    leases_.erase(id);
    ++revision_;
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_)
      if (item.lease == id) keys.push_back(key);
    for (const auto& key : keys) erase(key);
  }
}

void KeyValueStore::watch(double now, const std::string& target,
                          const ResponseHandler& on_response) {
  Query query = parse_query(target);
  const std::string prefix = query["starts"];
  const uint64_t after_revision = std::stoull(query["from"]);
  if (has_changes(prefix, after_revision)) return on_response(changes(prefix, after_revision));
  const double expires_at = now + std::stod(query["hold_ms"]) / 1000;
  watches_.push_back({prefix, after_revision, expires_at, on_response});
}

void KeyValueStore::respond_to_watches(double now) {
  if (has_outage_) return;
  std::vector<Watch> waiting, due;
  for (auto& watch : watches_) {
    const bool is_due = now >= watch.expires_at || has_changes(watch.prefix, watch.after_revision);
    (is_due ? due : waiting).push_back(std::move(watch));
  }
  watches_ = std::move(waiting);
  for (const auto& watch : due) watch.on_response(changes(watch.prefix, watch.after_revision));
}

bool KeyValueStore::has_changes(const std::string& prefix, uint64_t after_revision) const {
  return std::any_of(events_.rbegin(), events_.rend(), [&](const Event& event) {
    return event.revision > after_revision && starts_with(event.key, prefix);
  });
}

HttpResponse KeyValueStore::changes(const std::string& prefix, uint64_t after_revision) const {
  json list = json::array();
  for (const auto& event : events_) {
    if (event.revision <= after_revision || !starts_with(event.key, prefix)) continue;
    if (event.kind == Event::Kind::kPut)
      list.push_back({{"put", event.key}, {"v", event.value}, {"stamp", event.revision}});
    else
      list.push_back({{"delete", event.key}, {"stamp", event.revision}});
  }
  return {200, json{{"epoch", revision_}, {"news", list}}.dump()};
}

}  // namespace standins
