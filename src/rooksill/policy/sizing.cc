#include "rooksill/policy/sizing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace rooksill::policy {
namespace {

constexpr int kTrapezoids = 8;
// Maximum number of steps of the backward pass's grid along x and y. With at most this many
// machines, every machine count is a grid point.
constexpr int kMaxGridSteps = 32;
// A distribution is computed within kWindowDeviations standard deviations plus kMinWindowValues
// values on each side of its mean; the probability outside that window is negligible.
constexpr double kWindowDeviations = 6;
constexpr double kMinWindowValues = 12;
// Tasks are treated as never finishing if μ is not greater than this.
constexpr double kNegligibleServiceRate = 1e-9;
// y is a sum of shares; it is rounded up only if it exceeds a whole number by more than this.
constexpr double kBusyTolerance = 1e-9;
// A decision replaces an earlier one only if it is cheaper by more than this.
constexpr double kCostTolerance = 1e-12;

struct Range {
  int low = 0;
  int high = 0;
};

// The part of a distribution around its mean; all other probabilities count as zero.
struct DistributionWindow {
  int low = 0;
  std::vector<double> probabilities;  // of the values low, low + 1, ...
};

Range range_around(double mean, double variance) {
  const double half_width = kWindowDeviations * std::sqrt(variance) + kMinWindowValues;
  return {std::max(0, static_cast<int>(std::floor(mean - half_width))),
          static_cast<int>(std::ceil(mean + half_width))};
}

// Returns (λ/μ)(1 − e^(−μs)), the mean number of tasks that arrived within `duration` (s) and are
// still running; λs if tasks never finish.
double mean_running_arrivals(double duration, double service_rate, double arrival_rate) {
  return service_rate > kNegligibleServiceRate
             ? arrival_rate / service_rate * (1 - std::exp(-service_rate * duration))
             : arrival_rate * duration;
}

DistributionWindow poisson(double mean) {
  const auto [low, high] = range_around(mean, mean);
  DistributionWindow window{low, {}};
  double probability = mean > 0 ? std::exp(low * std::log(mean) - mean - std::lgamma(low + 1.0))
                                : (low == 0 ? 1.0 : 0.0);
  for (int count = low; count <= high; ++count) {
    window.probabilities.push_back(probability);
    probability *= mean / (count + 1);
  }
  return window;
}

DistributionWindow binomial(int trials, double probability) {
  if (probability <= 0) return {0, {1}};
  if (probability >= 1) return {trials, {1}};
  const auto [low, high] =
      range_around(trials * probability, trials * probability * (1 - probability));
  DistributionWindow window{std::min(low, trials), {}};
  for (int successes = window.low; successes <= std::min(high, trials); ++successes)
    window.probabilities.push_back(
        std::exp(std::lgamma(trials + 1.0) - std::lgamma(successes + 1.0) -
                 std::lgamma(trials - successes + 1.0) + successes * std::log(probability) +
                 (trials - successes) * std::log1p(-probability)));
  return window;
}

// Returns P[W + Z = j] for j in [0, size), the distribution of the tasks that are running after
// `duration`. W (Poisson) are those that arrived within it, Z (binomial) those of the `busy` tasks
// at its start that are still running.
std::vector<double> busy_distribution(double duration, int busy, int size, double service_rate,
                                      double arrival_rate) {
  const double still_running = std::exp(-service_rate * duration);
  const DistributionWindow new_tasks =
      poisson(mean_running_arrivals(duration, service_rate, arrival_rate));
  const DistributionWindow old_tasks = binomial(busy, still_running);
  std::vector<double> probabilities(static_cast<size_t>(size));
  for (size_t k = 0; k < old_tasks.probabilities.size(); ++k)
    for (size_t j = 0; j < new_tasks.probabilities.size(); ++j) {
      const size_t total =
          static_cast<size_t>(old_tasks.low) + k + static_cast<size_t>(new_tasks.low) + j;
      if (total >= probabilities.size()) break;
      probabilities[total] += old_tasks.probabilities[k] * new_tasks.probabilities[j];
    }
  return probabilities;
}

// Returns E[v] for every number of rented machines from 0 to `max_machines`. The distributions are
// computed once for all of them.
std::vector<double> unplanned_by_rented(double duration, int busy, int max_machines,
                                        double service_rate, double arrival_rate) {
  std::vector<double> expected(static_cast<size_t>(max_machines) + 1);
  for (int i = 0; i <= kTrapezoids; ++i) {
    const double weight = (i == 0 || i == kTrapezoids ? 0.5 : 1.0) * duration / kTrapezoids;
    const auto distribution = busy_distribution(duration * i / kTrapezoids, busy, max_machines + 1,
                                                service_rate, arrival_rate);
    double probability_below = 0;  // P[running tasks < rented]
    for (int rented = 0; rented <= max_machines; ++rented) {
      expected[static_cast<size_t>(rented)] +=
          arrival_rate * weight * std::clamp(1 - probability_below, 0.0, 1.0);
      probability_below += distribution[static_cast<size_t>(rented)];
    }
  }
  return expected;
}

// The grid of machine counts on which the backward pass runs: 0, step, 2·step, ...
class Grid {
 public:
  explicit Grid(int max_machines)
      : step_((max_machines + kMaxGridSteps - 1) / kMaxGridSteps),
        size_(static_cast<size_t>((max_machines + step_ - 1) / step_) + 1) {}

  int step() const { return step_; }
  size_t size() const { return size_; }
  int value(size_t point) const { return static_cast<int>(point) * step_; }
  int max_value() const { return value(size_ - 1); }

  // The position of a value between two grid points: (1 - fraction) * low + fraction * high.
  struct Position {
    size_t low = 0;
    size_t high = 0;
    double fraction = 0;
  };
  Position locate(double value) const {
    const double index = value / step_;
    const size_t low = std::min(static_cast<size_t>(index), size_ - 1);
    return {low, std::min(low + 1, size_ - 1), index - static_cast<double>(low)};
  }

 private:
  int step_;
  size_t size_;
};

// A cost for each pair of grid points (x, y).
class CostTable {
 public:
  explicit CostTable(size_t size) : size_(size), costs_(size * size) {}
  double& at(size_t x, size_t y) { return costs_[x * size_ + y]; }
  double at(size_t x, size_t y) const { return costs_[x * size_ + y]; }

 private:
  size_t size_;
  std::vector<double> costs_;
};

// The backward pass of the paper's Algorithm 1, from the last period to the first.
class BackwardPass {
 public:
  BackwardPass(const SizingInput& input, int max_machines);

  // Computes the cost-to-go back to the period after the current one.
  void run();
  // Returns the cheapest decision if `rented_before` machines are rented and `busy` of them are
  // busy. Tries every number of rented machines from `busy` to `max_rented` in steps of `stride`.
  // `unplanned`: E[v] by the number of rented machines.
  SizingResult decide(int rented_before, int busy, int max_rented, int stride,
                      const std::vector<double>& unplanned) const;

 private:
  double cost_to_go(double rented, size_t busy_point) const;
  double expected_cost_to_go(int rented, const Grid::Position& next_busy) const;

  const SizingInput& input_;
  Grid grid_;
  CostTable next_costs_;  // cost-to-go from the period after the one being decided
};

// Starts from the terminal cost max(0, x_N − y_N).
BackwardPass::BackwardPass(const SizingInput& input, int max_machines)
    : input_(input), grid_(max_machines), next_costs_(grid_.size()) {
  for (size_t x = 0; x < grid_.size(); ++x)
    for (size_t y = 0; y < grid_.size(); ++y)
      next_costs_.at(x, y) = std::max(0, grid_.value(x) - grid_.value(y));
}

void BackwardPass::run() {
  if (input_.horizon_periods <= 1) return;
  std::vector<std::vector<double>> unplanned(grid_.size());
  for (size_t y = 0; y < grid_.size(); ++y)
    unplanned[y] = unplanned_by_rented(input_.period_length, grid_.value(y), grid_.max_value(),
                                       input_.service_rate, input_.arrival_rate);
  CostTable current_costs(grid_.size());
  for (int k = input_.horizon_periods - 1; k > 0; --k) {
    for (size_t x = 0; x < grid_.size(); ++x)
      for (size_t y = 0; y < grid_.size(); ++y)
        current_costs.at(x, y) =
            decide(grid_.value(x), grid_.value(y), grid_.max_value(), grid_.step(), unplanned[y])
                .cost;
    std::swap(current_costs, next_costs_);
  }
}

SizingResult BackwardPass::decide(int rented_before, int busy, int max_rented, int stride,
                                  const std::vector<double>& unplanned) const {
  SizingResult best;
  best.cost = std::numeric_limits<double>::infinity();
  best.expected_busy =
      expected_busy(input_.period_length, busy, input_.service_rate, input_.arrival_rate);
  const Grid::Position next_busy =
      grid_.locate(std::min<double>(best.expected_busy, grid_.max_value()));
  for (int rented = busy; rented <= max_rented; rented += stride) {
    const int machines_to_rent = rented - rented_before;
    const double expected_unplanned = unplanned[static_cast<size_t>(rented)];
    const double cost = input_.planned_cost * std::max(0, machines_to_rent) +
                        input_.unplanned_cost * expected_unplanned + input_.holding_cost * rented +
                        expected_cost_to_go(rented, next_busy);
    if (cost >= best.cost - kCostTolerance) continue;
    best.cost = cost;
    best.machines_to_rent = machines_to_rent;
    best.expected_unplanned = expected_unplanned;
  }
  return best;
}

// Returns the cost-to-go from x_{k+1} = max(y_{k+1}, x_k + u_k), interpolated between the two grid
// points next to y_{k+1}.
double BackwardPass::expected_cost_to_go(int rented, const Grid::Position& next_busy) const {
  const auto [low, high, fraction] = next_busy;
  return (1 - fraction) * cost_to_go(std::max(grid_.value(low), rented), low) +
         fraction * cost_to_go(std::max(grid_.value(high), rented), high);
}

// Returns the cost-to-go with `rented` machines, interpolated between grid points, at the grid
// point `busy_point`.
double BackwardPass::cost_to_go(double rented, size_t busy_point) const {
  const auto [low, high, fraction] = grid_.locate(rented);
  return (1 - fraction) * next_costs_.at(low, busy_point) +
         fraction * next_costs_.at(high, busy_point);
}

}  // namespace

double expected_busy(double duration, double busy, double service_rate, double arrival_rate) {
  const double still_running = std::exp(-service_rate * duration);
  return mean_running_arrivals(duration, service_rate, arrival_rate) + busy * still_running;
}

double probability_all_busy(double duration, int busy, int rented, double service_rate,
                            double arrival_rate) {
  if (rented <= 0) return 1;
  double probability_below = 0;
  for (const double probability :
       busy_distribution(duration, busy, rented, service_rate, arrival_rate))
    probability_below += probability;
  return std::clamp(1 - probability_below, 0.0, 1.0);
}

double expected_unplanned_rentals(double duration, int busy, int rented, double service_rate,
                                  double arrival_rate) {
  return unplanned_by_rented(duration, busy, rented, service_rate,
                             arrival_rate)[static_cast<size_t>(rented)];
}

// With many machines the backward pass runs on a grid, so that its running time does not grow with
// R. E[v] is not interpolated but computed at each grid point, and the decision for the current
// period considers every integer u.
SizingResult size_fleet(const SizingInput& input) {
  const int max_machines =
      std::max({input.max_machines, input.rented, static_cast<int>(std::ceil(input.busy)), 1});
  BackwardPass pass(input, max_machines);
  pass.run();
  const int busy = std::min(static_cast<int>(std::ceil(input.busy - kBusyTolerance)), max_machines);
  return pass.decide(std::min(input.rented, max_machines), busy, max_machines, 1,
                     unplanned_by_rented(input.period_length, busy, max_machines,
                                         input.service_rate, input.arrival_rate));
}

}  // namespace rooksill::policy
