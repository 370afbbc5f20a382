#include "rooksill/store/client.h"

#include <algorithm>
#include <utility>

namespace rooksill::store {

namespace {

constexpr double kRequestTimeout = 1;  // s, of reads and transactions
// Of the limits, less a margin for the others' clocks and views of who is alive.
constexpr double kUsedShare = 0.95;

constexpr int kOk = 200, kNotFound = 404, kTooManyRequests = 429, kUnavailable = 503;

ReadResult read_result(const runtime::CallDone& done) {
  if (done.status == kNotFound) return {ReadStatus::kAbsent};
  if (done.status != kOk) return {};
  auto item = wire::decode_read(done.body);
  if (!item) return {};
  return {ReadStatus::kFound, item->revision, std::move(item->value)};
}

}  // namespace

Client::Client(const PlatformSettings& settings, CallFn call)
    : settings_(settings),
      call_(std::move(call)),
      requests_(settings.store_requests_per_s / settings.controller_count),
      writes_(settings.store_writes_per_s / settings.controller_count),
      writes_per_s_(settings.store_writes_per_s / settings.controller_count) {}

void Client::tick(double now, int sharers) {
  now_ = now;
  const double share = kUsedShare / std::max(1, sharers);
  writes_per_s_ = write_limit() * share;
  requests_.set_rate(settings_.store_requests_per_s * share);
  writes_.set_rate(writes_per_s_);
  requests_.refill(now);
  writes_.refill(now);
}

void Client::note_answer(const runtime::CallDone& done) {
  if (done.status == kTooManyRequests) lowered_ = true;
  if (done.status == 0 || done.status == kUnavailable) {
    if (healthy()) failing_since_ = now_;
    last_failure_ = now_;
  } else {
    last_answer_ = now_;
  }
}

bool Client::request(const std::string& method, const std::string& path, const std::string& body,
                     double timeout_s, runtime::CallHandler done) {
  if (!requests_.take(1)) return false;
  call_(method, path, body, timeout_s,
        [this, done = std::move(done)](const runtime::CallDone& answer) {
          note_answer(answer);
          done(answer);
        });
  return true;
}

bool Client::read(const std::string& key, ReadDone done) {
  return request(
      "GET", wire::read_path(key), "", kRequestTimeout,
      [done = std::move(done)](const runtime::CallDone& answer) { done(read_result(answer)); });
}

bool Client::transact(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
                      TransactionDone done) {
  const double count = static_cast<double>(writes.size());
  if (!room_for(count, 0)) return false;
  requests_.take(1);
  if (count > 0) writes_.take(count);
  call_("POST", wire::kTransactionPath, wire::encode_transaction(preconditions, std::move(writes)),
        kRequestTimeout, [this, done = std::move(done)](const runtime::CallDone& answer) {
          note_answer(answer);
          done(transaction_result(answer));
        });
  return true;
}

TransactionResult Client::transaction_result(const runtime::CallDone& done) {
  if (done.status == 0) {
    TransactionResult result;
    if (done.refused) result.outcome = TransactionOutcome::kRefused;
    return result;
  }
  // Others have used more than their share, or the store is overloaded: it gets a pause.
  if (done.status == kTooManyRequests || done.status == kUnavailable) writes_.drain();
  return wire::decode_transaction_answer(done.status, done.body);
}

}  // namespace rooksill::store
