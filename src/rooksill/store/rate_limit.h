// Rate limiter for requests and writes.
#pragma once

namespace rooksill::store {

// A token bucket with a capacity of one second's worth of tokens and a continuous refill.
class RateLimit {
 public:
  // Starts with a full bucket. `per_s` is the refill rate, in tokens per second.
  explicit RateLimit(double per_s) : rate_per_s_(per_s), tokens_(per_s) {}

  // Sets the refill rate, which is also the capacity, in tokens per second.
  void set_rate(double per_s) { rate_per_s_ = per_s; }
  // Adds the tokens accrued since the last call. `now` is in seconds of the steady clock.
  void refill(double now);

  // Returns whether `tokens` can be spent now. `reserve` is the fraction of the bucket that has to
  // remain for callers with precedence. A request for more than the capacity is allowed when the
  // bucket is nearly full.
  bool has_tokens(double tokens, double reserve = 0) const;
  // Spends `tokens` and returns true if they are available, else returns false.
  bool try_acquire(double tokens);
  // Removes all tokens.
  void drain() { tokens_ = 0; }

 private:
  double rate_per_s_;
  double tokens_;           // negative after a request for more than the bucket held
  double last_refill_ = 0;  // seconds of the steady clock
};

}  // namespace rooksill::store
