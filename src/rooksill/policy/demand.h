// The demand for one pool of machines: the paper's λ and μ.
#pragma once

namespace rooksill::policy {

// Running means over periods, measured in machines' worth of tasks. In the paper a machine serves
// one request; here many tasks share a machine, so a task counts as the share of a machine that it
// takes. With one task to a machine this is the paper's count.
//
// Only first attempts count as arrivals and only completions as finished, so that failing jobs
// inflate neither. A period's arrivals count for at most `cap` times the running mean, so that a
// burst does not become the forecast.
class Demand {
 public:
  // A task was placed for the first time; `share`: the part of a machine that it takes.
  void record_arrival(double share) { arrived_ += share; }
  // A task has run to completion.
  void record_completion(double share) { finished_ += share; }
  // So many machines' worth of tasks ran for that long.
  void record_busy(double machines, double seconds) { busy_machine_seconds_ += machines * seconds; }
  // Takes what was recorded since the last call into the means.
  void end_period(double period_s, double max_growth_ratio);

  // λ: arrivals per period.
  double arrival_rate() const { return arrival_rate_; }
  // μ: completions per busy machine and period.
  double service_rate() const { return service_rate_; }

 private:
  // In the present period.
  double arrived_ = 0;
  double finished_ = 0;
  double busy_machine_seconds_ = 0;
  // Means over the periods before.
  double arrival_rate_ = 0;
  double service_rate_ = 1;
  double average_finished_ = 0;
  double average_busy_machines_ = 0;
  int active_periods_ = 0;  // in which there was any work
};

}  // namespace rooksill::policy
