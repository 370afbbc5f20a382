#include "rooksill/policy/demand.h"

#include <algorithm>

namespace rooksill::policy {

namespace {
constexpr double kNewestWeight = 0.3;  // of the newest period in the running means
constexpr double kLowestMu = 1e-3;
constexpr double kHighestMu = 50;
// Busy machines below which μ stays what it was: at first the design's 1.
constexpr double kLeastBusyMachines = 0.1;

void update_mean(double& mean, double newest) { mean += kNewestWeight * (newest - mean); }
}  // namespace

void Demand::end_period(double period_s, double cap) {
  double arrived = arrived_;
  if (periods_ > 0 && lambda_ > 0) arrived = std::min(arrived, cap * lambda_);
  const double busy_machines = period_s > 0 ? busy_machine_seconds_ / period_s : 0;
  if (periods_ == 0) {
    lambda_ = arrived;
    mean_finished_ = finished_;
    mean_busy_machines_ = busy_machines;
  } else {
    update_mean(lambda_, arrived);
    update_mean(mean_finished_, finished_);
    update_mean(mean_busy_machines_, busy_machines);
  }
  if (mean_busy_machines_ > kLeastBusyMachines)
    mu_ = std::clamp(mean_finished_ / mean_busy_machines_, kLowestMu, kHighestMu);
  if (arrived_ > 0 || busy_machine_seconds_ > 0) ++periods_;
  arrived_ = finished_ = busy_machine_seconds_ = 0;
}

}  // namespace rooksill::policy
