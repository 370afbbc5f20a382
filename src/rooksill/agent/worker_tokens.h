// The fencing tokens that a partition owner uses for one worker.
#pragma once

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"

namespace rooksill::agent {

// A worker takes over the highest token that it sees, and drops all commands with a lower one. What
// was sent under a token at or below the fence belongs to the past: to a former owner of the
// partition, or to the time before the worker's agent restarted. A heartbeat with a token above the
// fence shows that the worker executes no more commands from then.
//
// All tokens are from the range of the partition's lease. When it is used up, the token cannot be
// raised any more until the partition has a new lease.
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
  // Returns whether the worker has reported a token above the fence, and none of another owner.
  bool are_earlier_commands_fenced() const {
    return last_reported_ > fence_ && last_reported_ <= current_;
  }
  // Returns whether the partition needs a new lease: a good part of the tokens is used, or the
  // worker has seen a token that this lease cannot exceed. `highest_issued` is the highest token of
  // all leases; a higher one is not from a lease, and no new lease would exceed it.
  bool needs_new_lease(model::FencingToken highest_issued) const;

  // Records that a direct command was sent with the current token.
  void record_sent() { in_flight_ = current_; }
  // Records that the direct command in flight was answered or timed out.
  void record_completed() { in_flight_ = model::kNoFencingToken; }
  // Records the highest token that the worker had seen when it sent its latest accepted heartbeat.
  void record_reported(model::FencingToken token) { last_reported_ = token; }
  // Raises the current token by one. A worker that sees a higher token sends a heartbeat. Returns
  // false if the lease has no higher token.
  bool raise();
  // Raises the fence to the current token, and the current token above it. If the lease has no
  // higher token, nothing is above the fence until the partition has a new lease.
  void raise_fence();

 private:
  model::FencingTokenRange lease_range_;
  model::FencingToken current_ = model::kNoFencingToken;
  model::FencingToken fence_ = model::kNoFencingToken;
  // The token of the direct command in flight; kNoFencingToken if there is none.
  model::FencingToken in_flight_ = model::kNoFencingToken;
  model::FencingToken last_reported_ = model::kNoFencingToken;
};

}  // namespace rooksill::agent
