#include "rooksill/store/replica_sync.h"

#include <algorithm>
#include <cstdint>

#include "rooksill/model/identifiers.h"

namespace rooksill::store {

using nlohmann::json;

namespace {
constexpr int kPage = 1000;          // the protocol's most
constexpr double kWatchShare = 0.2;  // part of this node's requests that watches may take
constexpr double kRetry = 0.3;       // after an error
// A watch is short: one whose answer is lost keeps this node blind for as long as it is waited for.
constexpr double kWatchReports = 0.33;
constexpr double kWatchPatience = 0.6;  // s beyond that
}  // namespace

// Between two watches: each is a request, and a busy store answers each at once.
double ReplicaSync::pause() const {
  const auto& p = ctx_.settings.platform;
  return p.controllers / (kWatchShare * p.state_rps);
}

void ReplicaSync::tick() {
  if (busy_ || ctx_.now.steady < next_) return;
  if (listed_)
    watch();
  else
    list("");
}

void ReplicaSync::list(const std::string& after) {
  std::string path =
      "/store?starts=" + wire::kPrefix + "&from=" + after + "&most=" + std::to_string(kPage);
  if (after.empty()) path = "/store?starts=" + wire::kPrefix + "&most=" + std::to_string(kPage);
  busy_ = client_.raw("GET", path, "", 2.0,
                      [this, after](const runtime::CallDone& d) { on_page(d, after); });
  if (!busy_) next_ = ctx_.now.steady + pause();
}

void ReplicaSync::on_page(const runtime::CallDone& done, const std::string& after) {
  busy_ = false;
  json j = done.status == 200 ? json::parse(done.body, nullptr, false) : json();
  if (!j.is_object() || !j.contains("items") || !j["items"].is_array() || !j.contains("epoch") ||
      !j["epoch"].is_number_unsigned()) {
    next_ = ctx_.now.steady + kRetry;
    return;
  }
  if (after.empty()) {
    revision_ = j["epoch"];
    leader_seen_ = false;
  }
  std::string last;
  for (const auto& item : j["items"]) {
    if (!item.is_object() || !item.contains("k") || !item.contains("v")) continue;
    last = item.value("k", "");
    if (last == wire::kLeaderKey) leader_seen_ = true;
    replica_.apply(last, item["v"], item.value("stamp", model::kNoRevision));
  }
  if (j.value("truncated", false) && !last.empty()) {
    list(last);
    if (!busy_) listed_ = false;  // start again from the first page
    return;
  }
  // A leader's key that is in no page has gone. A leader elected since is above this revision.
  if (!leader_seen_) replica_.forget_leader(model::next(revision_));
  listed_ = true;
  replica_.synced_revision = std::max(replica_.synced_revision, revision_);
  if (!replica_.synced)
    ctx_.info("state", "replica loaded: {} jobs, epoch {}", replica_.jobs.size(),
              model::number(revision_));
  replica_.synced = true;
  watch();
}

void ReplicaSync::watch() {
  // After a pause the next answer has to come at once, also when nothing has changed.
  const double hold =
      replica_.synced_at < ctx_.resumed_at ? 0 : kWatchReports * ctx_.settings.platform.report_s;
  asked_ = ctx_.now.steady;
  const std::string path = "/watch?starts=" + wire::kPrefix +
                           "&from=" + std::to_string(model::number(revision_)) +
                           "&hold_ms=" + std::to_string(static_cast<int>(hold * 1000));
  busy_ = client_.raw("GET", path, "", hold + kWatchPatience,
                      [this](const runtime::CallDone& d) { on_watch(d); });
  if (!busy_) next_ = ctx_.now.steady + pause();
}

void ReplicaSync::on_watch(const runtime::CallDone& done) {
  busy_ = false;
  if (done.status == 410) {
    listed_ = false;
    next_ = ctx_.now.steady;
    return;
  }
  json j = done.status == 200 ? json::parse(done.body, nullptr, false) : json();
  if (!j.is_object() || !j.contains("epoch") || !j["epoch"].is_number_unsigned()) {
    next_ = ctx_.now.steady + kRetry;
    return;
  }
  if (j.contains("news") && j["news"].is_array()) {
    for (const auto& e : j["news"]) {
      if (!e.is_object()) continue;
      const model::Revision revision = e.value("stamp", model::kNoRevision);
      if (e.contains("put") && e["put"].is_string() && e.contains("v"))
        replica_.apply(e["put"].get<std::string>(), e["v"], revision);
      else if (e.contains("delete") && e["delete"].is_string())
        replica_.remove(e["delete"].get<std::string>(), revision);
    }
  }
  revision_ = std::max(revision_, j["epoch"].get<model::Revision>());
  replica_.synced_revision = std::max(replica_.synced_revision, revision_);
  replica_.synced_at = asked_;
  next_ = ctx_.now.steady + pause();
}

}  // namespace rooksill::store
