// Rate limiting of the store transactions made for users' requests.
#pragma once

#include "rooksill/runtime/interval_timer.h"
#include "rooksill/settings/settings.h"

namespace rooksill::api {

// How long a request may be queued before it is answered with 503, in seconds. Less than the 2 s
// after which a user's poll times out.
inline constexpr double kMaxQueueingS = 1.5;

// Spaces out the transactions for one kind of request, so that they use no more than a fixed
// fraction of the store's request rate, and limits how many are pending. Times are steady seconds.
class TransactionPacer {
 public:
  // `request_ratio`: the fraction of this controller's share of the store's request rate that the
  // transactions may use, 0 to 1.
  TransactionPacer(const PlatformSettings& platform, double request_ratio)
      : interval_s_(platform.controller_count / (request_ratio * platform.store_requests_per_s)) {}

  // Returns whether the interval since the last transaction has passed and not too many are
  // pending.
  bool may_send(double now) const {
    return pending_transactions_ < kMaxPendingTransactions && timer_.expired(now);
  }
  // Must be called after each transaction sent.
  void record_sent(double now) {
    timer_.restart(now, interval_s_);
    ++pending_transactions_;
  }
  // Must be called with the result of each transaction sent.
  void record_finished() { --pending_transactions_; }

 private:
  static constexpr int kMaxPendingTransactions = 2;

  double interval_s_;
  runtime::IntervalTimer timer_;
  int pending_transactions_ = 0;
};

}  // namespace rooksill::api
