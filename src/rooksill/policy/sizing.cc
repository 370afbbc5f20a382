#include "rooksill/policy/sizing.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rooksill::policy {
namespace {

constexpr int kTrapezoids = 8;

// P[W + Z = j] for j in [0, n), W Poisson and Z binomial.
std::vector<double> busy_distribution(double s, int y, int n, double mu, double lambda) {
  const double stay = std::exp(-mu * s);
  const double mean = mu > 1e-9 ? lambda / mu * (1 - stay) : lambda * s;
  std::vector<double> w(static_cast<size_t>(n)), z(static_cast<size_t>(y) + 1),
      out(static_cast<size_t>(n));
  double p = std::exp(-mean);
  for (int j = 0; j < n; ++j) {
    w[static_cast<size_t>(j)] = p;
    p *= mean / (j + 1);
  }
  for (int k = 0; k <= y; ++k) {
    double log_choose = std::lgamma(y + 1) - std::lgamma(k + 1) - std::lgamma(y - k + 1);
    double value;
    if (stay >= 1) {
      value = k == y ? 1 : 0;
    } else if (stay <= 0) {
      value = k == 0 ? 1 : 0;
    } else {
      value = std::exp(log_choose + k * std::log(stay) + (y - k) * std::log1p(-stay));
    }
    z[static_cast<size_t>(k)] = value;
  }
  for (int k = 0; k <= y && k < n; ++k)
    for (int j = k; j < n; ++j)
      out[static_cast<size_t>(j)] += z[static_cast<size_t>(k)] * w[static_cast<size_t>(j - k)];
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

SizingResult size_fleet(const SizingInput& in) {
  const int r = std::max({in.ceiling, in.x, static_cast<int>(std::ceil(in.y)), 1});
  const auto n = static_cast<size_t>(r) + 1;
  auto at = [n](std::vector<double>& table, int x, int y) -> double& {
    return table[static_cast<size_t>(x) * n + static_cast<size_t>(y)];
  };
  std::vector<std::vector<double>> unplanned(n);
  for (int y = 0; y <= r; ++y)
    unplanned[static_cast<size_t>(y)] = unplanned_row(in.t, y, r, in.mu, in.lambda);

  std::vector<double> next(n * n), now(n * n);
  for (int x = 0; x <= r; ++x)
    for (int y = 0; y <= r; ++y) at(next, x, y) = std::max(0, x - y);

  SizingResult best;
  auto decide = [&](int x, int y) {
    SizingResult found;
    found.cost = std::numeric_limits<double>::infinity();
    found.expected_y = expected_busy(in.t, y, in.mu, in.lambda);
    const double y_new = std::min<double>(found.expected_y, r);
    const int y_low = static_cast<int>(std::floor(y_new)), y_high = std::min(y_low + 1, r);
    const double part = y_new - y_low;
    for (int u = y - x; u <= r - x; ++u) {
      const int rented = x + u;
      const double v = unplanned[static_cast<size_t>(y)][static_cast<size_t>(rented)];
      // x_{k+1} = max(y_{k+1}, x_k + u_k); the lookup lies between grid points of y.
      const double go = (1 - part) * at(next, std::max(y_low, rented), y_low) +
                        part * at(next, std::max(y_high, rented), y_high);
      const double g = in.c1 * std::max(0, u) + in.c2 * v + in.h * rented + go;
      if (g < found.cost - 1e-12) {
        found.cost = g;
        found.u = u;
        found.expected_v = v;
      }
    }
    return found;
  };
  for (int k = in.periods - 1; k > 0; --k) {
    for (int x = 0; x <= r; ++x)
      for (int y = 0; y <= r; ++y) at(now, x, y) = decide(x, y).cost;
    std::swap(now, next);
  }
  best = decide(std::min(in.x, r), std::min(static_cast<int>(std::ceil(in.y - 1e-9)), r));
  return best;
}

}  // namespace rooksill::policy
