// Detects that this controller, rather than its workers, is cut off from the network.
#pragma once

#include "rooksill/agent/worker_table.h"
#include "rooksill/runtime/context.h"

namespace rooksill::agent {

// A single unreachable worker has failed on its own; if nearly all workers are unreachable at once,
// this controller is likely isolated. Its partitions are then moved to other controllers, so it has
// no workers left that could contact it. It therefore stays in the isolated state until some worker
// responds to it again: otherwise it would get its partitions back immediately, and would lose and
// reacquire them repeatedly.
class SelfCheck {
 public:
  // Number of workers that are expected to respond, and how many of them do not.
  struct ResponseCounts {
    size_t expected = 0;
    size_t unresponsive = 0;
  };
  // Result of an update.
  enum class Verdict {
    kConnected,
    kLikelyIsolated,
    kReconnected,  // was likely isolated until this update
  };

  // Both arguments must outlive the check.
  SelfCheck(runtime::Context& context, const WorkerTable& workers)
      : context_(context), workers_(workers) {}

  // Re-evaluates whether this controller is isolated. `all_zones_unreachable` is the result of the
  // zone samples. While likely isolated and without workers of its own, probes random workers.
  Verdict update(const ResponseCounts& counts, bool all_zones_unreachable);
  // Records that a message from some worker was received.
  void record_response() { last_response_at_ = context_.now.steady; }
  // Returns whether this controller was likely isolated at the last update.
  bool is_likely_isolated() const { return is_likely_isolated_; }

 private:
  void probe_random_workers();

  runtime::Context& context_;
  const WorkerTable& workers_;
  bool is_likely_isolated_ = false;
  double last_response_at_ = -1e9;  // steady clock, like next_probe_at_
  double next_probe_at_ = 0;
};

}  // namespace rooksill::agent
