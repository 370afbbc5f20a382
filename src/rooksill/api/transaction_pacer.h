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
  TransactionPacer(const PlatformSettings& platform, double share)
      : interval_s_(platform.controller_count / (share * platform.store_requests_per_s)) {}

  // Times are steady seconds.
  bool may_send(double now) const { return under_way_ < kMaxUnderWay && timer_.expired(now); }
  void sent(double now) {
    timer_.restart(now, interval_s_);
    ++under_way_;
  }
  void finished() { --under_way_; }

 private:
  static constexpr int kMaxUnderWay = 2;

  double interval_s_;
  runtime::IntervalTimer timer_;
  int under_way_ = 0;
};

}  // namespace rooksill::api
