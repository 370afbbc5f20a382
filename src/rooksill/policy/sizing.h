// England and Weissman's leasing rule: E[y], E[v] and the backward pass of their Algorithm 1.
#pragma once

#include <vector>

namespace rooksill::policy {

struct SizingInput {
  int x = 0;          // machines rented at period start
  double y = 0;       // machines busy
  double lambda = 0;  // arrivals per period
  double mu = 1;      // finished per busy machine per period
  double t = 1;       // period length, in periods
  int ceiling = 32;   // R
  int periods = 3;    // N
  double c1 = 1, c2 = 6, h = 1;
};

struct SizingResult {
  int u = 0;
  double cost = 0;        // cost-to-go of that choice
  double expected_y = 0;  // E[y next]
  double expected_v = 0;  // E[v] of that choice
};

// E[y_{k+1}] = (λ/μ)(1 − e^(−μt)) + y·e^(−μt)
double expected_busy(double t, double y, double mu, double lambda);

// P[W(s) + Z(s) >= rented], W Poisson and Z binomial (the paper's appendix).
double chance_full(double s, int y, int rented, double mu, double lambda);

// E[v] = λ ∫ P2(s) ds over the period, by trapezoids.
double expected_unplanned(double t, int y, int rented, double mu, double lambda);

SizingResult size_fleet(const SizingInput& in);

}  // namespace rooksill::policy
