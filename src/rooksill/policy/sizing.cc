#include "rooksill/policy/sizing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace rooksill::policy {
namespace {

constexpr int kTrapezoids = 8;
// Steps of the backward pass' grid along x and y; with fewer machines each is a point of its own.
constexpr int kGridSteps = 32;
// A distribution is computed within so many standard deviations of its mean, and at least so many
// values to each side: what lies further away has no weight.
constexpr double kWindowDeviations = 6;
constexpr double kMinWindowValues = 12;
// μ below which tasks count as never finishing.
constexpr double kNegligibleServiceRate = 1e-9;
// What y, a sum of shares, may exceed a whole number by without counting as another machine.
constexpr double kBusyTolerance = 1e-9;
// A decision has to be cheaper by more than that to replace an earlier one.
constexpr double kCostTolerance = 1e-12;

struct Range {
  int low = 0;
  int high = 0;
};

// The part of a distribution around its mean; zero elsewhere.
struct DistributionWindow {
  int low = 0;
  std::vector<double> probabilities;  // of low, low + 1, ...
};

Range range_around(double mean, double variance) {
  const double reach = kWindowDeviations * std::sqrt(variance) + kMinWindowValues;
  return {std::max(0, static_cast<int>(std::floor(mean - reach))),
          static_cast<int>(std::ceil(mean + reach))};
}

// (λ/μ)(1 − e^(−μs)), the mean of the tasks that arrived within s and are still running; λs where
// none finishes.
double mean_running_arrivals(double duration, double service_rate, double arrival_rate) {
  return service_rate > kNegligibleServiceRate ? arrival_rate / service_rate * (1 - std::exp(-service_rate * duration)) : arrival_rate * duration;
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
  const auto [low, high] = range_around(trials * probability, trials * probability * (1 - probability));
  DistributionWindow window{std::min(low, trials), {}};
  for (int successes = window.low; successes <= std::min(high, trials); ++successes)
    window.probabilities.push_back(std::exp(std::lgamma(trials + 1.0) - std::lgamma(successes + 1.0) -
                             std::lgamma(trials - successes + 1.0) + successes * std::log(probability) +
                             (trials - successes) * std::log1p(-probability)));
  return window;
}

// P[W + Z = j] for j in [0, n): the tasks running after s. W (Poisson) arrived within s, Z
// (binomial) are those of the y at the start that still run.
std::vector<double> busy_distribution(double duration, int busy, int size, double service_rate, double arrival_rate) {
  const double still_running = std::exp(-service_rate * duration);
  const DistributionWindow new_tasks = poisson(mean_running_arrivals(duration, service_rate, arrival_rate));
  const DistributionWindow old_tasks = binomial(busy, still_running);
  std::vector<double> probabilities(static_cast<size_t>(size));
  for (size_t k = 0; k < old_tasks.probabilities.size(); ++k)
    for (size_t j = 0; j < new_tasks.probabilities.size(); ++j) {
      const size_t total = static_cast<size_t>(old_tasks.low) + k + static_cast<size_t>(new_tasks.low) + j;
      if (total >= probabilities.size()) break;
      probabilities[total] += old_tasks.probabilities[k] * new_tasks.probabilities[j];
    }
  return probabilities;
}

// E[v] for every rented count from 0 to `ceiling`, sharing the distributions.
std::vector<double> unplanned_by_rented(double duration, int busy, int max_machines, double service_rate, double arrival_rate) {
  std::vector<double> row(static_cast<size_t>(max_machines) + 1);
  for (int i = 0; i <= kTrapezoids; ++i) {
    const double weight = (i == 0 || i == kTrapezoids ? 0.5 : 1.0) * duration / kTrapezoids;
    const auto distribution = busy_distribution(duration * i / kTrapezoids, busy, max_machines + 1, service_rate, arrival_rate);
    double probability_below = 0;  // P[busy < rented]
    for (int rented = 0; rented <= max_machines; ++rented) {
      row[static_cast<size_t>(rented)] += arrival_rate * weight * std::clamp(1 - probability_below, 0.0, 1.0);
      probability_below += distribution[static_cast<size_t>(rented)];
    }
  }
  return row;
}

// The grid of machine counts on which the backward pass runs: 0, step, 2 step, ...
class Grid {
 public:
  explicit Grid(int max_machines)
      : step_((max_machines + kGridSteps - 1) / kGridSteps),
        size_(static_cast<size_t>((max_machines + step_ - 1) / step_) + 1) {}

  int step() const { return step_; }
  size_t size() const { return size_; }
  int value(size_t point) const { return static_cast<int>(point) * step_; }
  int max_value() const { return value(size_ - 1); }

  // Where a value lies between two points: (1 - part) * low + part * high.
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

  // Goes back by all periods but the present one.
  void run();
  // The best u for x machines of which y are busy. `unplanned`: E[v] by the rented count, which is
  // tried from y to `most` in steps of `stride`.
  SizingResult decide(int rented_before, int busy, int max_rented, int stride,
                      const std::vector<double>& unplanned) const;

 private:
  double cost_to_go(double rented, size_t busy_point) const;
  double expected_cost_to_go(int rented, const Grid::Position& next_busy) const;

  const SizingInput& input_;
  Grid grid_;
  CostTable next_costs_;  // the cost-to-go from the period after the one that is decided
};

// Starts with the terminal cost max(0, x_N − y_N).
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
    unplanned[y] = unplanned_by_rented(input_.period_length, grid_.value(y), grid_.max_value(), input_.service_rate, input_.arrival_rate);
  CostTable current_costs(grid_.size());
  for (int k = input_.horizon_periods - 1; k > 0; --k) {
    for (size_t x = 0; x < grid_.size(); ++x)
      for (size_t y = 0; y < grid_.size(); ++y)
        current_costs.at(x, y) =
            decide(grid_.value(x), grid_.value(y), grid_.max_value(), grid_.step(), unplanned[y]).cost;
    std::swap(current_costs, next_costs_);
  }
}

SizingResult BackwardPass::decide(int rented_before, int busy, int max_rented, int stride,
                                  const std::vector<double>& unplanned) const {
  SizingResult best;
  best.cost = std::numeric_limits<double>::infinity();
  best.expected_busy = expected_busy(input_.period_length, busy, input_.service_rate, input_.arrival_rate);
  const Grid::Position next_busy = grid_.locate(std::min<double>(best.expected_busy, grid_.max_value()));
  for (int rented = busy; rented <= max_rented; rented += stride) {
    const int machines_to_rent = rented - rented_before;
    const double expected_unplanned = unplanned[static_cast<size_t>(rented)];
    const double cost = input_.planned_cost * std::max(0, machines_to_rent) + input_.unplanned_cost * expected_unplanned + input_.holding_cost * rented +
                        expected_cost_to_go(rented, next_busy);
    if (cost >= best.cost - kCostTolerance) continue;
    best.cost = cost;
    best.machines_to_rent = machines_to_rent;
    best.expected_unplanned = expected_unplanned;
  }
  return best;
}

// From x_{k+1} = max(y_{k+1}, x_k + u_k), where y_{k+1} lies between two grid points.
double BackwardPass::expected_cost_to_go(int rented, const Grid::Position& next_busy) const {
  const auto [low, high, fraction] = next_busy;
  return (1 - fraction) * cost_to_go(std::max(grid_.value(low), rented), low) +
         fraction * cost_to_go(std::max(grid_.value(high), rented), high);
}

// At x machines, which may lie between grid points, and the grid point y.
double BackwardPass::cost_to_go(double rented, size_t busy_point) const {
  const auto [low, high, fraction] = grid_.locate(rented);
  return (1 - fraction) * next_costs_.at(low, busy_point) + fraction * next_costs_.at(high, busy_point);
}

}  // namespace

double expected_busy(double duration, double busy, double service_rate, double arrival_rate) {
  const double still_running = std::exp(-service_rate * duration);
  return mean_running_arrivals(duration, service_rate, arrival_rate) + busy * still_running;
}

double probability_all_busy(double duration, int busy, int rented, double service_rate, double arrival_rate) {
  if (rented <= 0) return 1;
  double probability_below = 0;
  for (const double probability : busy_distribution(duration, busy, rented, service_rate, arrival_rate)) probability_below += probability;
  return std::clamp(1 - probability_below, 0.0, 1.0);
}

double expected_unplanned_rentals(double duration, int busy, int rented, double service_rate, double arrival_rate) {
  return unplanned_by_rented(duration, busy, rented, service_rate, arrival_rate)[static_cast<size_t>(rented)];
}

// With many machines the backward pass runs on a grid, so that its cost does not grow with R. E[v]
// is exact at each point, and the present period's decision is made over every whole u.
SizingResult size_fleet(const SizingInput& input) {
  const int max_machines = std::max({input.max_machines, input.rented, static_cast<int>(std::ceil(input.busy)), 1});
  BackwardPass pass(input, max_machines);
  pass.run();
  const int busy = std::min(static_cast<int>(std::ceil(input.busy - kBusyTolerance)), max_machines);
  return pass.decide(std::min(input.rented, max_machines), busy, max_machines, 1,
                     unplanned_by_rented(input.period_length, busy, max_machines, input.service_rate, input.arrival_rate));
}

}  // namespace rooksill::policy
