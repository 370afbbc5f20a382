#include "rooksill/policy/demand.h"

#include <algorithm>

namespace rooksill::policy {

namespace {
constexpr double kWeight = 0.3;  // of the newest period in the running means
constexpr double kLowestMu = 1e-3;
}  // namespace

void Demand::end_period(double period_s, double cap) {
  double arrived = arrived_;
  if (periods_ > 0 && lambda_ > 0) arrived = std::min(arrived, cap * lambda_);
  const double busy = period_s > 0 ? busy_ / period_s : 0;
  if (periods_ == 0) {
    lambda_ = arrived;
    finished_mean_ = finished_;
    busy_mean_ = busy;
  } else {
    lambda_ += kWeight * (arrived - lambda_);
    finished_mean_ += kWeight * (finished_ - finished_mean_);
    busy_mean_ += kWeight * (busy - busy_mean_);
  }
  // Until something has been measured, μ is the design's 1.
  if (busy_mean_ > 0.1) mu_ = std::clamp(finished_mean_ / busy_mean_, kLowestMu, 50.0);
  if (arrived_ > 0 || busy_ > 0) ++periods_;
  arrived_ = finished_ = busy_ = 0;
}

}  // namespace rooksill::policy
