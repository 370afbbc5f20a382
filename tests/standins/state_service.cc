#include "standins/state_service.h"

#include <algorithm>
#include <set>

#include "standins/first_version.h"

namespace standins {

using nlohmann::json;

namespace {

std::map<std::string, std::string> query_of(const std::string& path) {
  std::map<std::string, std::string> out;
  auto at = path.find('?');
  while (at != std::string::npos) {
    auto end = path.find('&', at + 1);
    std::string part = path.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    auto eq = part.find('=');
    if (eq != std::string::npos) out[part.substr(0, eq)] = part.substr(eq + 1);
    at = end;
  }
  return out;
}

bool starts(const std::string& s, const std::string& p) { return s.compare(0, p.size(), p) == 0; }

}  // namespace

void StateService::set_outage(double now, bool on) {
  if (outage_ && !on)
    for (auto& [id, l] : leases_) l.ends = now + l.ttl;
  outage_ = on;
}

void StateService::erase(const std::string& key) {
  if (items_.erase(key) == 0) return;
  events_.push_back({revision_, key, false, {}});
}

void StateService::tick(double now) {
  if (outage_) return;
  std::vector<uint64_t> ended;
  for (const auto& [id, l] : leases_)
    if (now >= l.ends) ended.push_back(id);
  for (uint64_t id : ended) {
    leases_.erase(id);
    ++revision_;
    std::vector<std::string> keys;
    for (const auto& [k, item] : items_)
      if (item.lease == id) keys.push_back(k);
    for (const auto& k : keys) erase(k);
  }
  serve_watches(now);
}

bool StateService::has_news(const std::string& prefix, uint64_t from) const {
  return std::any_of(events_.rbegin(), events_.rend(),
                     [&](const Event& e) { return e.revision > from && starts(e.key, prefix); });
}

std::string StateService::news(const std::string& prefix, uint64_t from) const {
  json list = json::array();
  for (const auto& e : events_) {
    if (e.revision <= from || !starts(e.key, prefix)) continue;
    if (e.put)
      list.push_back({{"put", e.key}, {"v", e.value}, {"stamp", e.revision}});
    else
      list.push_back({{"delete", e.key}, {"stamp", e.revision}});
  }
  return json{{"epoch", revision_}, {"news", list}}.dump();
}

void StateService::serve_watches(double now) {
  if (outage_) return;
  std::vector<Watch> keep, done;
  for (auto& w : watches_) {
    if (now >= w.ends || has_news(w.prefix, w.from))
      done.push_back(std::move(w));
    else
      keep.push_back(std::move(w));
  }
  watches_ = std::move(keep);
  for (auto& w : done) w.later({200, news(w.prefix, w.from)});
}

void StateService::handle(double now, const std::string& method, const std::string& path,
                          const std::string& body, Later later) {
  tick(now);
  ++requests;
  if (outage_) return later({503, "{}"});
  if (last_ < 0) {
    tokens_ = rps_;
    write_tokens_ = write_rps_;
  } else {
    tokens_ = std::min(rps_, tokens_ + (now - last_) * rps_);
    write_tokens_ = std::min(write_rps_, write_tokens_ + (now - last_) * write_rps_);
  }
  last_ = now;
  if (tokens_ < 1) {
    ++refused;
    return later({429, "{}"});
  }
  tokens_ -= 1;
  bool waits = false;
  Answer a = answer(now, method, path, body, later, waits);
  if (!waits) later(a);
  serve_watches(now);
}

Answer StateService::answer(double now, const std::string& method, const std::string& path,
                            const std::string& body, Later& later, bool& waits) {
  auto q = query_of(path);
  if (method == "POST" && path == "/txn") return txn(now, body);
  if (method == "GET" && starts(path, "/watch")) {
    const uint64_t from = std::stoull(q["from"]);
    if (has_news(q["starts"], from)) return {200, news(q["starts"], from)};
    waits = true;
    watches_.push_back({q["starts"], from, now + std::stod(q["hold_ms"]) / 1000, later});
    return {};
  }
  if (method == "GET" && starts(path, "/store/")) {
    auto it = items_.find(path.substr(7));
    if (it == items_.end()) return {404, json{{"epoch", revision_}}.dump()};
    return {200,
            json{{"k", it->first}, {"v", it->second.value}, {"stamp", it->second.revision}}.dump()};
  }
  if (method == "GET" && starts(path, "/store?")) {
    json items = json::array();
    const size_t most = q.count("most") != 0 ? std::stoul(q["most"]) : 1000;
    bool more = false;
    for (auto it = items_.upper_bound(q["from"]); it != items_.end(); ++it) {
      if (!starts(it->first, q["starts"])) continue;
      if (items.size() >= most) {
        more = true;
        break;
      }
      items.push_back({{"k", it->first}, {"v", it->second.value}, {"stamp", it->second.revision}});
    }
    return {200, json{{"items", items}, {"truncated", more}, {"epoch", revision_}}.dump()};
  }
  if (method == "POST" && path == "/grants") {
    json j = json::parse(body);
    const uint64_t id = next_lease_++;
    const double ttl = j["ttl_ms"].get<double>() / 1000;
    leases_[id] = {ttl, now + ttl};
    return {200, json{{"hold", id}}.dump()};
  }
  if (starts(path, "/grants/")) {
    const uint64_t id = std::stoull(path.substr(8));
    auto it = leases_.find(id);
    if (it == leases_.end()) return {404, "{}"};
    if (method == "DELETE") {
      it->second.ends = now;
      tick(now);
    } else {
      it->second.ends = now + it->second.ttl;
    }
    return {200, "{}"};
  }
  return {400, "{}"};
}

Answer StateService::txn(double now, const std::string& body) {
  (void)now;
  json j = json::parse(body, nullptr, false);
  if (!j.is_object()) return {400, "{}"};
  const json& w = j["writes"];
  const json& g = j["guards"];
  if (w.size() > txn_ops_) broken.push_back("transaction with too many writes");
  if (g.size() > 4 * txn_ops_) broken.push_back("transaction with too many guards");
  if (body.size() > size_t{64} * 1024) broken.push_back("transaction too large");
  if (write_tokens_ < static_cast<double>(w.size())) {
    ++refused;
    return {429, "{}"};
  }
  write_tokens_ -= static_cast<double>(w.size());
  for (const auto& x : w)
    if (x.contains("hold") && leases_.count(x["hold"].get<uint64_t>()) == 0)
      return {400, "{\"error\":\"no such lease\"}"};
  json failed = json::array();
  for (const auto& x : g) {
    auto it = items_.find(x["k"].get<std::string>());
    const uint64_t revision = it == items_.end() ? 0 : it->second.revision;
    if (revision != x["stamp"].get<uint64_t>()) failed.push_back(x["k"]);
  }
  if (!failed.empty()) return {409, json{{"failed", failed}, {"epoch", revision_}}.dump()};
  if (w.empty()) return {200, json{{"epoch", revision_}}.dump()};
  ++revision_;
  for (const auto& x : w) {
    ++writes;
    if (x.contains("delete")) {
      erase(x["delete"].get<std::string>());
      continue;
    }
    const auto key = x["put"].get<std::string>();
    if (x["v"].dump().size() > value_bytes_) broken.push_back("value too large: " + key);
    // Before all controllers have the present version, one of the version before may read it.
    if (items_.count("rk/upgrade") == 0 && !ignored_by_first_version(key))
      if (auto unknown = unknown_to_first_version(key, x["v"]); !unknown.empty())
        broken.push_back("unknown to the first version: " + unknown);
    if (key.size() > 200 || key.find(' ') != std::string::npos) broken.push_back("bad key " + key);
    items_[key] = {x["v"], revision_, x.contains("hold") ? x["hold"].get<uint64_t>() : 0};
    events_.push_back({revision_, key, true, x["v"]});
  }
  return {200, json{{"epoch", revision_}}.dump()};
}

}  // namespace standins
