// Measures λ and μ of a machine type and kind, in machines' worth of tasks.
#pragma once

namespace rooksill::policy {

// Many tasks share a machine here, so a task counts as the share of a machine that it takes; with
// one task to a machine this is the paper's count. Only first attempts count as arrivals and only
// completions as finished, so that failing jobs inflate neither; a period's arrivals count for at
// most `cap` times the running mean, so that a burst does not become the forecast.
class Demand {
 public:
  void arrived(double share) { arrived_ += share; }
  void finished(double share) { finished_ += share; }
  void busy(double machines, double seconds) { busy_ += machines * seconds; }
  void end_period(double period_s, double cap);
  double lambda() const { return lambda_; }  // per period
  double mu() const { return mu_; }          // per busy machine and period

 private:
  double arrived_ = 0, finished_ = 0, busy_ = 0;
  double lambda_ = 0, mu_ = 1, finished_mean_ = 0, busy_mean_ = 0;
  int periods_ = 0;
};

}  // namespace rooksill::policy
