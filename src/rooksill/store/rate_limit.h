// Keeps calls and writes within a rate.
#pragma once

namespace rooksill::store {

// A token bucket that holds one second's worth and is refilled evenly.
class RateLimit {
 public:
  explicit RateLimit(double per_s) : rate_per_s_(per_s), tokens_(per_s) {}

  void set_rate(double per_s) { rate_per_s_ = per_s; }
  // Adds what has come since the last call. `now`: seconds of the steady clock.
  void refill(double now);

  // Whether `n` may go out now. `reserve`: the part of the bucket that has to stay in it, for those
  // that come before the caller. More than a second's worth goes out on a full bucket.
  bool has_tokens(double tokens, double reserve = 0) const;
  // Takes `n` if they may go out now.
  bool try_acquire(double tokens);
  void drain() { tokens_ = 0; }

 private:
  double rate_per_s_;
  double tokens_;
  double last_refill_ = 0;
};

}  // namespace rooksill::store
