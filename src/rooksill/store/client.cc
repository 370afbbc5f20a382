#include "rooksill/store/client.h"

#include <algorithm>
#include <utility>

namespace rooksill::store {

namespace {

constexpr double kRequestTimeoutSeconds = 1;  // for reads and transactions
// Fraction of the store's limits that is used. The margin allows for differences between the
// controllers' clocks and between their views of which controllers are alive.
constexpr double kUsedLimitRatio = 0.95;

constexpr int kOk = 200, kNotFound = 404, kTooManyRequests = 429, kUnavailable = 503;

ReadResult read_result(const runtime::CallDone& response) {
  if (response.status == kNotFound) return {ReadStatus::kAbsent};
  if (response.status != kOk) return {};
  auto item = wire::decode_read(response.body);
  if (!item) return {};
  return {ReadStatus::kFound, item->revision, std::move(item->value)};
}

}  // namespace

Client::Client(const PlatformSettings& settings, CallFn call)
    : settings_(settings),
      call_(std::move(call)),
      request_limit_(settings.store_requests_per_s / settings.controller_count),
      write_limit_(settings.store_writes_per_s / settings.controller_count),
      writes_per_s_(settings.store_writes_per_s / settings.controller_count) {}

void Client::tick(double now, int live_controllers) {
  now_ = now;
  const double share = kUsedLimitRatio / std::max(1, live_controllers);
  writes_per_s_ = total_writes_per_s() * share;
  request_limit_.set_rate(settings_.store_requests_per_s * share);
  write_limit_.set_rate(writes_per_s_);
  request_limit_.refill(now);
  write_limit_.refill(now);
}

void Client::record_response(const runtime::CallDone& response) {
  if (response.status == kTooManyRequests) uses_lower_limit_ = true;
  if (response.status == 0 || response.status == kUnavailable) {
    if (is_healthy()) failing_since_ = now_;
    last_failure_at_ = now_;
  } else {
    last_response_at_ = now_;
  }
}

bool Client::request(const std::string& method, const std::string& path, const std::string& body,
                     double timeout_s, runtime::CallHandler handler) {
  if (!request_limit_.try_acquire(1)) return false;
  call_(method, path, body, timeout_s,
        [this, handler = std::move(handler)](const runtime::CallDone& response) {
          record_response(response);
          handler(response);
        });
  return true;
}

bool Client::read(const std::string& key, ReadHandler handler) {
  return request("GET", wire::read_path(key), "", kRequestTimeoutSeconds,
                 [handler = std::move(handler)](const runtime::CallDone& response) {
                   handler(read_result(response));
                 });
}

bool Client::transact(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
                      TransactionHandler handler) {
  const double write_count = static_cast<double>(writes.size());
  if (!has_capacity_for(write_count, 0)) return false;
  request_limit_.try_acquire(1);
  if (write_count > 0) write_limit_.try_acquire(write_count);
  call_("POST", wire::kTransactionPath, wire::encode_transaction(preconditions, std::move(writes)),
        kRequestTimeoutSeconds,
        [this, handler = std::move(handler)](const runtime::CallDone& response) {
          record_response(response);
          handler(transaction_result(response));
        });
  return true;
}

TransactionResult Client::transaction_result(const runtime::CallDone& response) {
  if (response.status == 0) {
    TransactionResult result;
    if (response.connection_refused) result.outcome = TransactionOutcome::kRefused;
    return result;
  }
  // Other controllers have exceeded their share or the store is overloaded: back off.
  if (response.status == kTooManyRequests || response.status == kUnavailable) write_limit_.drain();
  return wire::decode_transaction_response(response.status, response.body);
}

}  // namespace rooksill::store
