#include "rooksill/store/replica_sync.h"

#include <algorithm>
#include <utility>

#include "rooksill/model/identifiers.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::store {

namespace {
constexpr double kWatchShare = 0.2;  // part of this controller's requests that watches may take
constexpr double kRetry = 0.3;       // s after an error
constexpr double kListTimeout = 2;   // s
// A watch is short: while one whose answer is lost is waited for, this controller learns nothing.
constexpr double kWatchReports = 0.33;  // of the time between two reports
constexpr double kWatchPatience = 0.6;  // s beyond that

constexpr int kOk = 200;
constexpr int kHistoryGone = 410;  // the store does not have the changes since then any more
}  // namespace

// Between two watches, in s: each is a request, and a busy store answers each at once.
double ReplicaSync::pause() const {
  const auto& p = ctx_.settings.platform;
  return p.controller_count / (kWatchShare * p.store_requests_per_s);
}

template <typename T>
std::optional<T> ReplicaSync::decoded(const runtime::CallDone& done,
                                      wire::Decoded<T> (*decode)(const std::string&)) {
  if (done.status != kOk) return std::nullopt;
  auto answer = decode(done.body);
  if (answer) return std::move(*answer);
  ctx_.debug("state", "{}", answer.error().describe());
  return std::nullopt;
}

void ReplicaSync::tick() {
  if (busy_ || ctx_.now.steady < next_) return;
  if (listed_)
    watch();
  else
    list("");
}

void ReplicaSync::list(const std::string& after) {
  busy_ = client_.request("GET", wire::list_path(wire::kKeyPrefix, after), "", kListTimeout,
                          [this, after](const runtime::CallDone& done) { on_page(done, after); });
  if (!busy_) next_ = ctx_.now.steady + pause();
}

void ReplicaSync::on_page(const runtime::CallDone& done, const std::string& after) {
  busy_ = false;
  auto page = decoded(done, wire::decode_list_page);
  if (!page) {
    next_ = ctx_.now.steady + kRetry;
    return;
  }
  if (after.empty()) {
    revision_ = page->revision;
    leader_seen_ = false;
  }
  for (const auto& item : page->items) {
    if (item.key == wire::kLeaderKey) leader_seen_ = true;
    replica_.apply(item.key, item.value, item.revision);
  }
  if (page->has_more && !page->items.empty() && !page->items.back().key.empty()) {
    list(page->items.back().key);
    if (!busy_) listed_ = false;  // start again from the first page
    return;
  }
  on_last_page();
}

void ReplicaSync::on_last_page() {
  // A leader's key that is in no page has gone. A leader elected since is above this revision.
  if (!leader_seen_) replica_.forget_leader(model::next(revision_));
  listed_ = true;
  replica_.synced_revision = std::max(replica_.synced_revision, revision_);
  if (!replica_.synced)
    ctx_.info("state", "replica loaded: {} jobs, revision {}", replica_.jobs.size(),
              model::number(revision_));
  replica_.synced = true;
  watch();
}

void ReplicaSync::watch() {
  // After a pause the next answer has to come at once, also when nothing has changed.
  const bool resumed = replica_.synced_at < ctx_.resumed_at;
  const double wait = resumed ? 0 : kWatchReports * ctx_.settings.platform.report_s;
  asked_ = ctx_.now.steady;
  busy_ = client_.request("GET", wire::watch_path(wire::kKeyPrefix, revision_, wait), "",
                          wait + kWatchPatience,
                          [this](const runtime::CallDone& done) { on_watch(done); });
  if (!busy_) next_ = ctx_.now.steady + pause();
}

void ReplicaSync::on_watch(const runtime::CallDone& done) {
  busy_ = false;
  if (done.status == kHistoryGone) {
    listed_ = false;
    next_ = ctx_.now.steady;
    return;
  }
  const auto answer = decoded(done, wire::decode_watch);
  if (!answer) {
    next_ = ctx_.now.steady + kRetry;
    return;
  }
  for (const auto& change : answer->changes) {
    const wire::StoreItem& item = change.item;
    if (change.kind == wire::StoreChange::Kind::kPut)
      replica_.apply(item.key, item.value, item.revision);
    else
      replica_.remove(item.key, item.revision);
  }
  revision_ = std::max(revision_, answer->revision);
  replica_.synced_revision = std::max(replica_.synced_revision, revision_);
  replica_.synced_at = asked_;
  next_ = ctx_.now.steady + pause();
}

}  // namespace rooksill::store
