// Spaces out the transactions that one kind of users' requests makes, so that together they take no
// more than their share of the store's rate limit.
#pragma once

#include "rooksill/runtime/interval_timer.h"
#include "rooksill/settings/settings.h"

namespace rooksill::api {

// How long a request may wait for its transaction before it is answered with 503, in seconds. Below
// the 2 s that a user waits for the answer to a poll.
inline constexpr double kMaxQueueingS = 1.5;

class TransactionPacer {
 public:
  // `share`: the part of this controller's requests to the store.
  TransactionPacer(const PlatformSettings& platform, double request_ratio)
      : interval_s_(platform.controllers / (request_ratio * platform.state_rps)) {}

  // Times are steady seconds.
  bool may_send(double now) const { return pending_transactions_ < kMaxPendingTransactions && timer_.expired(now); }
  void record_sent(double now) {
    timer_.restart(now, interval_s_);
    ++pending_transactions_;
  }
  void record_finished() { --pending_transactions_; }

 private:
  static constexpr int kMaxPendingTransactions = 2;

  double interval_s_;
  runtime::IntervalTimer timer_;
  int pending_transactions_ = 0;
};

}  // namespace rooksill::api
