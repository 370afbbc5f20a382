// Detects zones whose workers this controller cannot reach.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "rooksill/agent/worker_table.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"

namespace rooksill::agent {

// A worker that does not respond may be the first one of a zone that is cut off from the network.
// A sample of the zone's workers is probed immediately, so that the state of the zone is known
// before the worker's timeout ends: machines of an unreachable zone are kept, while a single
// unreachable machine is replaced.
class ZoneMonitor {
 public:
  // All arguments must outlive the monitor.
  ZoneMonitor(runtime::Context& context, const store::Replica& replica, WorkerTable& workers)
      : context_(context), replica_(replica), workers_(workers) {}

  // Probes a sample of the zone's workers, at most once per heartbeat interval.
  void probe_sample(const std::string& zone);
  // Evaluates the samples whose timeout has passed. Samples unreachable zones again until they are
  // reachable.
  void evaluate_samples();
  // Discards all samples and verdicts.
  void clear();

  // Returns the unreachable zones in ascending order.
  std::vector<std::string> unreachable_zones() const;
  // Returns whether every zone with workers in the table was unreachable at the latest evaluation.
  // Then this controller is the one that is cut off, and this is known before each of its workers
  // has become unresponsive.
  bool is_every_zone_unreachable() const { return is_every_zone_unreachable_; }

 private:
  enum class Verdict { kReachable, kUnreachable };
  // Probes sent to one zone, and the zone's state.
  struct Sample {
    double started_at = -1e9;  // steady clock
    int probes_sent = 0;
    int responses_received = 0;
    bool is_evaluated = true;
    Verdict verdict = Verdict::kReachable;  // of the last evaluated sample
  };

  std::vector<const Worker*> reported_workers_in(const std::string& zone) const;
  void on_response(const std::string& zone, double started_at);
  bool is_sample_complete(const Sample& sample) const;
  void evaluate(const std::string& zone, Sample& sample);
  bool is_every_worker_in_unreachable_zone() const;

  runtime::Context& context_;
  const store::Replica& replica_;
  WorkerTable& workers_;
  std::map<std::string, Sample> samples_;  // by zone
  bool is_every_zone_unreachable_ = false;
};

}  // namespace rooksill::agent
