// Estimates of the demand for one pool of machines: the arrival rate λ and the service rate μ of
// the sizing rule.
#pragma once

namespace rooksill::policy {

// Exponentially weighted moving averages over periods. Tasks are counted in machines. In the paper
// of the sizing rule a machine serves one request. Here many tasks share a machine, so a task
// counts as the share of a machine that it uses; with one task per machine this equals the paper's
// count.
//
// Only first attempts count as arrivals, and only completions as finished, so that failing jobs
// inflate neither rate. The arrivals of a period are limited to a multiple of the average, so that
// a burst does not dominate the forecast.
class Demand {
 public:
  // Records the first placement of a task that uses `share` of a machine.
  void record_arrival(double share) { arrived_ += share; }
  // Records the completion of a task that used `share` of a machine.
  void record_completion(double share) { finished_ += share; }
  // Records that tasks kept `machines` machines (by their shares) busy for `seconds`.
  void record_busy(double machines, double seconds) { busy_machine_seconds_ += machines * seconds; }
  // Updates the averages with what was recorded since the last call and starts a new period.
  // `max_growth_ratio`: limit of the period's arrivals, as a multiple of the average.
  void end_period(double period_s, double max_growth_ratio);

  // Returns λ, the arrivals per period.
  double arrival_rate() const { return arrival_rate_; }
  // Returns μ, the completions per busy machine and period.
  double service_rate() const { return service_rate_; }

 private:
  // In the current period.
  double arrived_ = 0;
  double finished_ = 0;
  double busy_machine_seconds_ = 0;
  // Averages over the past periods.
  double arrival_rate_ = 0;
  double service_rate_ = 1;
  double average_finished_ = 0;
  double average_busy_machines_ = 0;
  int active_periods_ = 0;  // periods with arrivals or busy machines
};

}  // namespace rooksill::policy
