// The fencing tokens that a partition owner uses for one worker.
#pragma once

#include <algorithm>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"

namespace rooksill::agent {

// A worker executes a request only if its token is not below the highest one that the worker has
// seen, and possibly more than once. Two fences follow from that:
// - A request that was not acknowledged may be executed later. That a task is absent or has exited
//   is certain only once the worker has seen a higher token (are_earlier_commands_fenced()).
// - A request that was acknowledged may be executed again. Its starts have no effect while the
//   worker lists the attempts, so a command that removes an attempt must bring a higher token
//   (fence_starts()).
// All tokens are from the range of the partition's lease. When it is used up, neither fence can be
// raised any more; until the partition has a new lease, nothing is removed and nothing counts as
// absent that an earlier request could start.
class WorkerTokens {
 public:
  WorkerTokens() = default;
  // `last_used`: the highest token that this process has used for the worker before.
  WorkerTokens(const model::FencingTokenRange& lease_range, model::FencingToken last_used);

  // Returns the token to be sent with every heartbeat response and command. Never decreases.
  model::FencingToken current() const { return current_; }
  // Returns whether a direct command is in flight.
  bool has_command_in_flight() const { return in_flight_ != model::kNoFencingToken; }
  // Returns whether a direct command with this token is in flight.
  bool is_in_flight(model::FencingToken token) const { return in_flight_ == token; }
  // Returns whether no earlier command can take effect on the worker for the first time: it has
  // seen a token above those of all unacknowledged and in-flight commands, and none of another
  // owner.
  bool are_earlier_commands_fenced() const {
    return last_reported_ > std::max(highest_unacknowledged_, in_flight_) &&
           last_reported_ <= current_;
  }
  // Returns whether the partition needs a new lease: a good part of the tokens is used, or the
  // worker has seen a token that this lease cannot exceed. `highest_issued` is the highest token of
  // all leases; a higher one is not from a lease, and no new lease would exceed it.
  bool needs_new_lease(model::FencingToken highest_issued) const;

  // Records that a direct command was sent with the current token.
  void record_sent(bool has_starts);
  // Records that the direct command in flight was answered or timed out.
  void record_completed() { in_flight_ = model::kNoFencingToken; }
  // Records that a direct command with starts and this token was not acknowledged, and raises the
  // current token above it.
  void record_unacknowledged(model::FencingToken token);
  // Records the highest token that the worker had seen when it sent its latest accepted heartbeat.
  void record_reported(model::FencingToken token) { last_reported_ = token; }
  // Raises the current token above those of all direct commands with starts, so that none of them
  // is executed after a command with the current token. Returns whether that holds; if not, no
  // attempt may be removed from the worker.
  bool fence_starts();

 private:
  // Raises the current token above `token`, as far as the range of the lease allows.
  void raise_above(model::FencingToken token);

  model::FencingTokenRange lease_range_;
  model::FencingToken current_ = model::kNoFencingToken;
  // The highest token of a direct command that was never acknowledged.
  model::FencingToken highest_unacknowledged_ = model::kNoFencingToken;
  // The highest token of a direct command with starts.
  model::FencingToken highest_start_ = model::kNoFencingToken;
  // The token of the direct command in flight; kNoFencingToken if there is none.
  model::FencingToken in_flight_ = model::kNoFencingToken;
  model::FencingToken last_reported_ = model::kNoFencingToken;
};

}  // namespace rooksill::agent
