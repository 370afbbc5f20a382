#include "rooksill/agent/worker_tokens.h"

namespace rooksill::agent {

namespace {
// A partition needs a new lease once a worker has used 1/kRenewalDivisor of the lease's tokens.
constexpr uint64_t kRenewalDivisor = 2;
}  // namespace

WorkerTokens::WorkerTokens(const model::FencingTokenRange& lease_range,
                           model::FencingToken last_used)
    : lease_range_(lease_range) {
  current_ = std::max(lease_range.first, model::next(last_used));
  // A command of a previous owner, or of this one, may still be in flight or arrive again.
  highest_unacknowledged_ = highest_start_ = model::previous(current_);
}

bool WorkerTokens::needs_new_lease(model::FencingToken highest_issued) const {
  const uint64_t used = model::number(current_) - model::number(lease_range_.first);
  const uint64_t available =
      model::number(lease_range_.last) - model::number(lease_range_.first) + 1;
  const bool is_outranked = last_reported_ > current_ && last_reported_ <= highest_issued;
  return used >= available / kRenewalDivisor || is_outranked;
}

void WorkerTokens::record_sent(bool has_starts) {
  in_flight_ = current_;
  if (has_starts) highest_start_ = current_;
}

void WorkerTokens::record_unacknowledged(model::FencingToken token) {
  highest_unacknowledged_ = std::max(highest_unacknowledged_, token);
  raise_above(token);
}

bool WorkerTokens::fence_starts() {
  raise_above(highest_start_);
  return current_ > highest_start_;
}

void WorkerTokens::raise_above(model::FencingToken token) {
  if (token < lease_range_.last) current_ = std::max(current_, model::next(token));
}

}  // namespace rooksill::agent
