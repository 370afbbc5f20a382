#include "rooksill/agent/worker_tokens.h"

#include <algorithm>
#include <cstdint>

namespace rooksill::agent {

namespace {
// A partition needs a new lease once a worker has used 1/kRenewalDivisor of the lease's tokens.
constexpr uint64_t kRenewalDivisor = 2;
}  // namespace

WorkerTokens::WorkerTokens(const model::FencingTokenRange& lease_range,
                           model::FencingToken last_used)
    : lease_range_(lease_range) {
  current_ = std::max(lease_range.first, model::next(last_used));
  fence_ = model::previous(current_);
}

bool WorkerTokens::needs_new_lease(model::FencingToken highest_issued) const {
  const uint64_t used = model::number(current_) - model::number(lease_range_.first);
  const uint64_t available =
      model::number(lease_range_.last) - model::number(lease_range_.first) + 1;
  const bool is_outranked = last_reported_ > current_ && last_reported_ <= highest_issued;
  return used >= available / kRenewalDivisor || is_outranked;
}

bool WorkerTokens::raise() {
  if (current_ >= lease_range_.last) return false;
  current_ = model::next(current_);
  return true;
}

void WorkerTokens::raise_fence() {
  fence_ = current_;
  raise();
}

}  // namespace rooksill::agent
