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
  void sample(const std::string& zone);
  // Judges the samples whose time is up. A zone found unreachable is sampled again and again.
  void judge_samples();
  void clear();

  // In ascending order.
  std::vector<std::string> unreachable_zones() const;
  // No zone with workers in the table answered when it was last judged: it is this controller that
  // is cut off, and it need not wait until each worker is silent to know.
  bool all_unreachable() const { return all_unreachable_; }

 private:
  enum class Verdict { kReachable, kUnreachable };
  struct Sample {
    double started = -1e9;  // steady clock
    int sent = 0;
    int answered = 0;
    bool judged = true;
    Verdict verdict = Verdict::kReachable;  // of the last sample that was judged
  };

  std::vector<const Worker*> reported_workers_in(const std::string& zone) const;
  void on_answer(const std::string& zone, double started);
  bool sample_is_over(const Sample& sample) const;
  void judge(const std::string& zone, Sample& sample);
  bool every_worker_unreachable() const;

  runtime::Context& context_;
  const store::Replica& replica_;
  WorkerTable& workers_;
  std::map<std::string, Sample> samples_;  // by zone
  bool all_unreachable_ = false;
};

}  // namespace rooksill::agent
