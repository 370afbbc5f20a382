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
double ReplicaSync::watch_interval_s() const {
  const auto& p = context_.settings.platform;
  return p.controllers / (kWatchShare * p.state_rps);
}

template <typename T>
std::optional<T> ReplicaSync::decode_response(const runtime::CallDone& response,
                                      wire::Decoded<T> (*decode)(const std::string&)) {
  if (response.status != kOk) return std::nullopt;
  auto answer = decode(response.body);
  if (answer) return std::move(*answer);
  context_.debug("state", "{}", answer.error().describe());
  return std::nullopt;
}

void ReplicaSync::tick() {
  if (has_pending_request_ || context_.now.steady < next_request_at_) return;
  if (is_listing_complete_)
    watch();
  else
    list("");
}

void ReplicaSync::list(const std::string& after) {
  has_pending_request_ = client_.request("GET", wire::list_path(wire::kPrefix, after), "", kListTimeout,
                          [this, after](const runtime::CallDone& response) { on_page(response, after); });
  if (!has_pending_request_) next_request_at_ = context_.now.steady + watch_interval_s();
}

void ReplicaSync::on_page(const runtime::CallDone& response, const std::string& after) {
  has_pending_request_ = false;
  auto page = decode_response(response, wire::decode_list_page);
  if (!page) {
    next_request_at_ = context_.now.steady + kRetry;
    return;
  }
  if (after.empty()) {
    revision_ = page->revision;
    has_leader_key_ = false;
  }
  for (const auto& item : page->items) {
    if (item.key == wire::kLeaderKey) has_leader_key_ = true;
    replica_.apply(item.key, item.value, item.revision);
  }
  if (page->more && !page->items.empty() && !page->items.back().key.empty()) {
    list(page->items.back().key);
    if (!has_pending_request_) is_listing_complete_ = false;  // start again from the first page
    return;
  }
  on_last_page();
}

void ReplicaSync::on_last_page() {
  // A leader's key that is in no page has gone. A leader elected since is above this revision.
  if (!has_leader_key_) replica_.clear_leader(model::next(revision_));
  is_listing_complete_ = true;
  replica_.synced_revision = std::max(replica_.synced_revision, revision_);
  if (!replica_.synced)
    context_.info("state", "replica loaded: {} jobs, revision {}", replica_.jobs.size(),
              model::number(revision_));
  replica_.synced = true;
  watch();
}

void ReplicaSync::watch() {
  // After a pause the next answer has to come at once, also when nothing has changed.
  const bool resumed = replica_.synced_at < context_.resumed_at;
  const double max_wait_s = resumed ? 0 : kWatchReports * context_.settings.platform.report_s;
  watch_sent_at_ = context_.now.steady;
  has_pending_request_ = client_.request("GET", wire::watch_path(wire::kPrefix, revision_, max_wait_s), "",
                          max_wait_s + kWatchPatience,
                          [this](const runtime::CallDone& response) { on_watch(response); });
  if (!has_pending_request_) next_request_at_ = context_.now.steady + watch_interval_s();
}

void ReplicaSync::on_watch(const runtime::CallDone& response) {
  has_pending_request_ = false;
  if (response.status == kHistoryGone) {
    is_listing_complete_ = false;
    next_request_at_ = context_.now.steady;
    return;
  }
  const auto answer = decode_response(response, wire::decode_watch);
  if (!answer) {
    next_request_at_ = context_.now.steady + kRetry;
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
  replica_.synced_at = watch_sent_at_;
  next_request_at_ = context_.now.steady + watch_interval_s();
}

}  // namespace rooksill::store
