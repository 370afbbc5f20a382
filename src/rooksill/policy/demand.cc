#include "rooksill/policy/demand.h"

#include <algorithm>

namespace rooksill::policy {

namespace {
constexpr double kSmoothingFactor = 0.3;  // weight of the newest period in the averages
constexpr double kMinServiceRate = 1e-3;
constexpr double kMaxServiceRate = 50;
// With fewer busy machines μ is not updated; its initial value is 1, as in the design.
constexpr double kMinBusyMachines = 0.1;

void update_average(double& average, double newest) {
  average += kSmoothingFactor * (newest - average);
}
}  // namespace

void Demand::end_period(double period_s, double max_growth_ratio) {
  double arrived = arrived_;
  if (active_periods_ > 0 && arrival_rate_ > 0)
    arrived = std::min(arrived, max_growth_ratio * arrival_rate_);
  const double busy_machines = period_s > 0 ? busy_machine_seconds_ / period_s : 0;
  if (active_periods_ == 0) {
    arrival_rate_ = arrived;
    average_finished_ = finished_;
    average_busy_machines_ = busy_machines;
  } else {
    update_average(arrival_rate_, arrived);
    update_average(average_finished_, finished_);
    update_average(average_busy_machines_, busy_machines);
  }
  if (average_busy_machines_ > kMinBusyMachines)
    service_rate_ =
        std::clamp(average_finished_ / average_busy_machines_, kMinServiceRate, kMaxServiceRate);
  if (arrived_ > 0 || busy_machine_seconds_ > 0) ++active_periods_;
  arrived_ = finished_ = busy_machine_seconds_ = 0;
}

}  // namespace rooksill::policy
