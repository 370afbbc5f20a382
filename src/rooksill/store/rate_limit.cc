#include "rooksill/store/rate_limit.h"

#include <algorithm>

namespace rooksill::store {

namespace {
// Fill level at which a request for more than the capacity is allowed: a large transaction may have
// more writes than one second's worth.
constexpr double kFullBucketRatio = 0.95;
}  // namespace

void RateLimit::refill(double now) {
  tokens_ = std::min(rate_per_s_, tokens_ + (now - last_refill_) * rate_per_s_);
  last_refill_ = now;
}

bool RateLimit::has_tokens(double tokens, double reserve) const {
  return tokens_ >= std::min(tokens + reserve * rate_per_s_, rate_per_s_ * kFullBucketRatio);
}

bool RateLimit::try_acquire(double tokens) {
  if (!has_tokens(tokens)) return false;
  tokens_ -= tokens;
  return true;
}

}  // namespace rooksill::store
