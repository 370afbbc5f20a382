// Which zones' workers this controller cannot reach.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "rooksill/agent/worker_table.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"

namespace rooksill::agent {

// One worker that does not answer may be the first of a zone that is cut off. A sample of the
// zone's other workers is probed at once, so that by the time the worker is judged it is known
// whether it is alone: machines of an unreachable zone are kept, a single silent one is replaced.
class ZoneMonitor {
 public:
  ZoneMonitor(runtime::Context& context, const store::Replica& replica, WorkerTable& workers)
      : context_(context), replica_(replica), workers_(workers) {}

  // Probes a sample of the zone, at most once in a report interval.
  void probe_sample(const std::string& zone);
  // Judges the samples whose time is up. A zone found unreachable is sampled again and again.
  void evaluate_samples();
  void clear();

  // In ascending order.
  std::vector<std::string> unreachable_zones() const;
  // No zone with workers in the table answered when it was last judged: it is this controller that
  // is cut off, and it need not wait until each worker is silent to know.
  bool is_every_zone_unreachable() const { return is_every_zone_unreachable_; }

 private:
  enum class Verdict { kReachable, kUnreachable };
  struct Sample {
    double started_at = -1e9;  // steady clock
    int probes_sent = 0;
    int responses_received = 0;
    bool is_evaluated = true;
    Verdict verdict = Verdict::kReachable;  // of the last sample that was judged
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
