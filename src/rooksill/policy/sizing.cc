#include "rooksill/policy/sizing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace rooksill::policy {
namespace {

constexpr int kTrapezoids = 8;
constexpr int kGridPoints = 32;  // the backward pass' states along x and y; fewer machines: all
constexpr double kSigmas = 6;    // what lies further from a mean has no weight
constexpr double kFewest = 12;   // and at least so many values to each side of it

// The values of a distribution between `low` and `low + p.size()`, zero elsewhere.
struct Window {
  int low = 0;
  std::vector<double> p;
};

std::pair<int, int> around(double mean, double variance) {
  const double reach = kSigmas * std::sqrt(variance) + kFewest;
  return {std::max(0, static_cast<int>(std::floor(mean - reach))),
          static_cast<int>(std::ceil(mean + reach))};
}

Window poisson(double mean) {
  const auto [low, high] = around(mean, mean);
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
  const auto [low, high] = around(n * chance, n * chance * (1 - chance));
  Window out{std::min(low, n), {}};
  for (int k = out.low; k <= std::min(high, n); ++k)
    out.p.push_back(std::exp(std::lgamma(n + 1.0) - std::lgamma(k + 1.0) -
                             std::lgamma(n - k + 1.0) + k * std::log(chance) +
                             (n - k) * std::log1p(-chance)));
  return out;
}

// P[W + Z = j] for j in [0, n), W Poisson and Z binomial.
std::vector<double> busy_distribution(double s, int y, int n, double mu, double lambda) {
  const double stay = std::exp(-mu * s);
  const Window w = poisson(mu > 1e-9 ? lambda / mu * (1 - stay) : lambda * s);
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
    auto d = busy_distribution(t * i / kTrapezoids, y, ceiling + 1, mu, lambda);
    double below = 0;
    for (int rented = 0; rented <= ceiling; ++rented) {
      row[static_cast<size_t>(rented)] += lambda * weight * std::clamp(1 - below, 0.0, 1.0);
      below += d[static_cast<size_t>(rented)];
    }
  }
  return row;
}

}  // namespace

double expected_busy(double t, double y, double mu, double lambda) {
  const double stay = std::exp(-mu * t);
  const double arrived = mu > 1e-9 ? lambda / mu * (1 - stay) : lambda * t;
  return arrived + y * stay;
}

double chance_full(double s, int y, int rented, double mu, double lambda) {
  if (rented <= 0) return 1;
  double below = 0;
  for (double p : busy_distribution(s, y, rented, mu, lambda)) below += p;
  return std::clamp(1 - below, 0.0, 1.0);
}

double expected_unplanned(double t, int y, int rented, double mu, double lambda) {
  return unplanned_row(t, y, rented, mu, lambda)[static_cast<size_t>(rented)];
}

// The backward pass runs on a grid of x and y; with few machines its points are all of them. E[v]
// is the paper's at each point, and the decision of the present period is made over every whole u.
SizingResult size_fleet(const SizingInput& in) {
  const int r = std::max({in.ceiling, in.x, static_cast<int>(std::ceil(in.y)), 1});
  const int step = (r + kGridPoints - 1) / kGridPoints;
  const auto n = static_cast<size_t>((r + step - 1) / step) + 1;
  auto point = [step](size_t i) { return static_cast<int>(i) * step; };
  const int top = point(n - 1);
  auto at = [n](std::vector<double>& table, size_t x, size_t y) -> double& {
    return table[x * n + y];
  };
  std::vector<double> next(n * n), now(n * n);
  for (size_t x = 0; x < n; ++x)
    for (size_t y = 0; y < n; ++y) at(next, x, y) = std::max(0, point(x) - point(y));

  // Cost-to-go at `x` machines and a grid point of y, between the grid points of x.
  auto go = [&](double x, size_t y) {
    const double place = x / step;
    const auto low = std::min(static_cast<size_t>(place), n - 1), high = std::min(low + 1, n - 1);
    const double part = place - static_cast<double>(low);
    return (1 - part) * at(next, low, y) + part * at(next, high, y);
  };
  // The best u for x machines of which y are busy, with the rented counts tried every `stride`.
  auto decide = [&](int x, int y, int most, int stride, const std::vector<double>& unplanned) {
    SizingResult found;
    found.cost = std::numeric_limits<double>::infinity();
    found.expected_y = expected_busy(in.t, y, in.mu, in.lambda);
    const double y_new = std::min<double>(found.expected_y, top) / step;
    const auto y_low = static_cast<size_t>(y_new), y_high = std::min(y_low + 1, n - 1);
    const double part = y_new - static_cast<double>(y_low);
    for (int rented = y; rented <= most; rented += stride) {
      const double v = unplanned[static_cast<size_t>(rented)];
      // x_{k+1} = max(y_{k+1}, x_k + u_k); the lookup lies between grid points of y.
      const double to_go = (1 - part) * go(std::max(point(y_low), rented), y_low) +
                           part * go(std::max(point(y_high), rented), y_high);
      const int u = rented - x;
      const double g = in.c1 * std::max(0, u) + in.c2 * v + in.h * rented + to_go;
      if (g < found.cost - 1e-12) {
        found.cost = g;
        found.u = u;
        found.expected_v = v;
      }
    }
    return found;
  };
  if (in.periods > 1) {
    std::vector<std::vector<double>> unplanned(n);
    for (size_t y = 0; y < n; ++y)
      unplanned[y] = unplanned_row(in.t, point(y), top, in.mu, in.lambda);
    for (int k = in.periods - 1; k > 0; --k) {
      for (size_t x = 0; x < n; ++x)
        for (size_t y = 0; y < n; ++y)
          at(now, x, y) = decide(point(x), point(y), top, step, unplanned[y]).cost;
      std::swap(now, next);
    }
  }
  const int y = std::min(static_cast<int>(std::ceil(in.y - 1e-9)), r);
  return decide(std::min(in.x, r), y, r, 1, unplanned_row(in.t, y, r, in.mu, in.lambda));
}

}  // namespace rooksill::policy
