#include "rooksill/store/rate_limit.h"

#include <algorithm>

namespace rooksill::store {

namespace {
constexpr double kFull = 0.95;  // of the bucket, which a large transaction needs
}

void RateLimit::refill(double now) {
  level_ = std::min(per_s_, level_ + (now - last_refill_) * per_s_);
  last_refill_ = now;
}

bool RateLimit::has(double n, double reserve) const {
  return level_ >= std::min(n + reserve * per_s_, per_s_ * kFull);
}

bool RateLimit::take(double n) {
  if (!has(n)) return false;
  level_ -= n;
  return true;
}

}  // namespace rooksill::store
