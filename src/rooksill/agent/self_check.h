// Whether this controller is likely to be the one that is cut off, not its workers.
#pragma once

#include "rooksill/agent/worker_table.h"
#include "rooksill/runtime/context.h"

namespace rooksill::agent {

// A single silent worker has failed by itself; nearly all of them at once point at this controller.
// Its partitions are moved to other controllers then, and with them every worker that it could
// hear. So it keeps suspecting itself until some worker answers it again: otherwise it would get
// its partitions back at once, and lose and acquire them in turn.
class SelfCheck {
 public:
  // How many of the workers that should be heard did not answer.
  struct ResponseCounts {
    size_t expected = 0;
    size_t unresponsive = 0;
  };
  enum class Verdict {
    kConnected,
    kLikelyIsolated,
    kReconnected,  // suspect until now
  };

  SelfCheck(runtime::Context& context, const WorkerTable& workers)
      : context_(context), workers_(workers) {}

  Verdict update(const ResponseCounts& counts, bool all_zones_unreachable);
  // Some worker was heard.
  void record_response() { last_response_at_ = context_.now.steady; }
  bool is_likely_isolated() const { return is_likely_isolated_; }

 private:
  void probe_random_workers();

  runtime::Context& context_;
  const WorkerTable& workers_;
  bool is_likely_isolated_ = false;
  double last_response_at_ = -1e9;  // steady clock, as below
  double next_probe_at_ = 0;
};

}  // namespace rooksill::agent
