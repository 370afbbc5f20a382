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
constexpr double kDeviations = 6;
constexpr double kFewestValues = 12;
// μ below which tasks count as never finishing.
constexpr double kSmallestMu = 1e-9;
// What y, a sum of shares, may exceed a whole number by without counting as another machine.
constexpr double kBusyTolerance = 1e-9;
// A decision has to be cheaper by more than that to replace an earlier one.
constexpr double kCostTolerance = 1e-12;

struct Range {
  int low = 0;
  int high = 0;
};

// The part of a distribution around its mean; zero elsewhere.
struct Window {
  int low = 0;
  std::vector<double> p;  // of low, low + 1, ...
};

Range range_around(double mean, double variance) {
  const double reach = kDeviations * std::sqrt(variance) + kFewestValues;
  return {std::max(0, static_cast<int>(std::floor(mean - reach))),
          static_cast<int>(std::ceil(mean + reach))};
}

// (λ/μ)(1 − e^(−μs)), the mean of the tasks that arrived within s and are still running; λs where
// none finishes.
double mean_arrived(double s, double mu, double lambda) {
  return mu > kSmallestMu ? lambda / mu * (1 - std::exp(-mu * s)) : lambda * s;
}

Window poisson(double mean) {
  const auto [low, high] = range_around(mean, mean);
  Window out{low, {}};
  double p = mean > 0 ? std::exp(low * std::log(mean) - mean - std::lgamma(low + 1.0))
                      : (low == 0 ? 1.0 : 0.0);
  for (int j = low; j <= high; ++j) {
    out.p.push_back(p);
    p *= mean / (j + 1);
  }
  return out;
}

Window binomial(int n, double chance) {
  if (chance <= 0) return {0, {1}};
  if (chance >= 1) return {n, {1}};
  const auto [low, high] = range_around(n * chance, n * chance * (1 - chance));
  Window out{std::min(low, n), {}};
  for (int k = out.low; k <= std::min(high, n); ++k)
    out.p.push_back(std::exp(std::lgamma(n + 1.0) - std::lgamma(k + 1.0) -
                             std::lgamma(n - k + 1.0) + k * std::log(chance) +
                             (n - k) * std::log1p(-chance)));
  return out;
}

// P[W + Z = j] for j in [0, n): the tasks running after s. W (Poisson) arrived within s, Z
// (binomial) are those of the y at the start that still run.
std::vector<double> busy_distribution(double s, int y, int n, double mu, double lambda) {
  const double stay = std::exp(-mu * s);
  const Window w = poisson(mean_arrived(s, mu, lambda));
  const Window z = binomial(y, stay);
  std::vector<double> out(static_cast<size_t>(n));
  for (size_t k = 0; k < z.p.size(); ++k)
    for (size_t j = 0; j < w.p.size(); ++j) {
      const size_t at = static_cast<size_t>(z.low) + k + static_cast<size_t>(w.low) + j;
      if (at >= out.size()) break;
      out[at] += z.p[k] * w.p[j];
    }
  return out;
}

// E[v] for every rented count from 0 to `ceiling`, sharing the distributions.
std::vector<double> unplanned_row(double t, int y, int ceiling, double mu, double lambda) {
  std::vector<double> row(static_cast<size_t>(ceiling) + 1);
  for (int i = 0; i <= kTrapezoids; ++i) {
    const double weight = (i == 0 || i == kTrapezoids ? 0.5 : 1.0) * t / kTrapezoids;
    const auto busy = busy_distribution(t * i / kTrapezoids, y, ceiling + 1, mu, lambda);
    double below = 0;  // P[busy < rented]
    for (int rented = 0; rented <= ceiling; ++rented) {
      row[static_cast<size_t>(rented)] += lambda * weight * std::clamp(1 - below, 0.0, 1.0);
      below += busy[static_cast<size_t>(rented)];
    }
  }
  return row;
}

// The grid of machine counts on which the backward pass runs: 0, step, 2 step, ...
class Grid {
 public:
  explicit Grid(int ceiling)
      : step_((ceiling + kGridSteps - 1) / kGridSteps),
        size_(static_cast<size_t>((ceiling + step_ - 1) / step_) + 1) {}

  int step() const { return step_; }
  size_t size() const { return size_; }
  int value(size_t point) const { return static_cast<int>(point) * step_; }
  int top() const { return value(size_ - 1); }

  // Where a value lies between two points: (1 - part) * low + part * high.
  struct Position {
    size_t low = 0;
    size_t high = 0;
    double part = 0;
  };
  Position locate(double value) const {
    const double place = value / step_;
    const size_t low = std::min(static_cast<size_t>(place), size_ - 1);
    return {low, std::min(low + 1, size_ - 1), place - static_cast<double>(low)};
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
  BackwardPass(const SizingInput& input, int ceiling);

  // Goes back by all periods but the present one.
  void run();
  // The best u for x machines of which y are busy. `unplanned`: E[v] by the rented count, which is
  // tried from y to `most` in steps of `stride`.
  SizingResult decide(int x, int y, int most, int stride,
                      const std::vector<double>& unplanned) const;

 private:
  double cost_to_go(double x, size_t y) const;
  double expected_cost_to_go(int rented, const Grid::Position& y_next) const;

  const SizingInput& input_;
  Grid grid_;
  CostTable next_;  // the cost-to-go from the period after the one that is decided
};

// Starts with the terminal cost max(0, x_N − y_N).
BackwardPass::BackwardPass(const SizingInput& input, int ceiling)
    : input_(input), grid_(ceiling), next_(grid_.size()) {
  for (size_t x = 0; x < grid_.size(); ++x)
    for (size_t y = 0; y < grid_.size(); ++y)
      next_.at(x, y) = std::max(0, grid_.value(x) - grid_.value(y));
}

void BackwardPass::run() {
  if (input_.periods <= 1) return;
  std::vector<std::vector<double>> unplanned(grid_.size());
  for (size_t y = 0; y < grid_.size(); ++y)
    unplanned[y] = unplanned_row(input_.t, grid_.value(y), grid_.top(), input_.mu, input_.lambda);
  CostTable present(grid_.size());
  for (int k = input_.periods - 1; k > 0; --k) {
    for (size_t x = 0; x < grid_.size(); ++x)
      for (size_t y = 0; y < grid_.size(); ++y)
        present.at(x, y) =
            decide(grid_.value(x), grid_.value(y), grid_.top(), grid_.step(), unplanned[y]).cost;
    std::swap(present, next_);
  }
}

SizingResult BackwardPass::decide(int x, int y, int most, int stride,
                                  const std::vector<double>& unplanned) const {
  SizingResult best;
  best.cost = std::numeric_limits<double>::infinity();
  best.expected_y = expected_busy(input_.t, y, input_.mu, input_.lambda);
  const Grid::Position y_next = grid_.locate(std::min<double>(best.expected_y, grid_.top()));
  for (int rented = y; rented <= most; rented += stride) {
    const int u = rented - x;
    const double v = unplanned[static_cast<size_t>(rented)];
    const double cost = input_.c1 * std::max(0, u) + input_.c2 * v + input_.h * rented +
                        expected_cost_to_go(rented, y_next);
    if (cost >= best.cost - kCostTolerance) continue;
    best.cost = cost;
    best.u = u;
    best.expected_v = v;
  }
  return best;
}

// From x_{k+1} = max(y_{k+1}, x_k + u_k), where y_{k+1} lies between two grid points.
double BackwardPass::expected_cost_to_go(int rented, const Grid::Position& y_next) const {
  const auto [low, high, part] = y_next;
  return (1 - part) * cost_to_go(std::max(grid_.value(low), rented), low) +
         part * cost_to_go(std::max(grid_.value(high), rented), high);
}

// At x machines, which may lie between grid points, and the grid point y.
double BackwardPass::cost_to_go(double x, size_t y) const {
  const auto [low, high, part] = grid_.locate(x);
  return (1 - part) * next_.at(low, y) + part * next_.at(high, y);
}

}  // namespace

double expected_busy(double t, double y, double mu, double lambda) {
  const double stay = std::exp(-mu * t);
  return mean_arrived(t, mu, lambda) + y * stay;
}

double chance_full(double s, int y, int rented, double mu, double lambda) {
  if (rented <= 0) return 1;
  double below = 0;
  for (const double p : busy_distribution(s, y, rented, mu, lambda)) below += p;
  return std::clamp(1 - below, 0.0, 1.0);
}

double expected_unplanned(double t, int y, int rented, double mu, double lambda) {
  return unplanned_row(t, y, rented, mu, lambda)[static_cast<size_t>(rented)];
}

// With many machines the backward pass runs on a grid, so that its cost does not grow with R. E[v]
// is exact at each point, and the present period's decision is made over every whole u.
SizingResult size_fleet(const SizingInput& input) {
  const int ceiling = std::max({input.ceiling, input.x, static_cast<int>(std::ceil(input.y)), 1});
  BackwardPass pass(input, ceiling);
  pass.run();
  const int y = std::min(static_cast<int>(std::ceil(input.y - kBusyTolerance)), ceiling);
  return pass.decide(std::min(input.x, ceiling), y, ceiling, 1,
                     unplanned_row(input.t, y, ceiling, input.mu, input.lambda));
}

}  // namespace rooksill::policy
