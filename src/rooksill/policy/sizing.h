// England and Weissman's leasing rule, by the paper's symbols: E[y], E[v] and the backward pass of
// their Algorithm 1. Pure functions; docs/design.md says what was changed and why.
//
// Time is counted in periods, and tasks in machines' worth.
//   x_k  machines rented at the start of period k      y_k  machines busy then
//   u_k  machines to rent (below 0: to return)          R    the most there can be
//   λ    arrivals per period                            μ    completions per busy machine and
//   period v    unplanned rentals within a period              N    periods that are looked ahead
#pragma once

#include <vector>

namespace rooksill::policy {

struct SizingInput {
  int x = 0;
  double y = 0;
  double lambda = 0;
  double mu = 1;
  double t = 1;      // a period's length, in periods
  int ceiling = 32;  // R
  int periods = 3;   // N
  // The cost of a period: c1·max(0, u) + c2·E[v] + h·(x + u).
  double c1 = 1;  // of a planned rental
  double c2 = 6;  // of an unplanned rental
  double h = 1;   // of holding a machine for a period
};

struct SizingResult {
  int u = 0;
  double cost = 0;        // of this period and all after it, with that u
  double expected_y = 0;  // E[y_{k+1}]
  double expected_v = 0;  // E[v] with that u
};

// E[y_{k+1}] = (λ/μ)(1 − e^(−μt)) + y·e^(−μt), the machines busy after t (the paper's appendix A).
double expected_busy(double t, double y, double mu, double lambda);

// P2(s) = P[W(s) + Z(s) >= rented], the chance that after s all rented machines are busy. W is
// Poisson: tasks that arrived and still run; Z is binomial: tasks of the y that still run (the
// paper's appendix A).
double chance_full(double s, int y, int rented, double mu, double lambda);

// E[v] = λ ∫ P2(s) ds from 0 to t, by trapezoids (the paper's equation 3).
double expected_unplanned(double t, int y, int rented, double mu, double lambda);

// The u of the first period that costs least over all periods, with y − x ≤ u ≤ R − x.
SizingResult size_fleet(const SizingInput& input);

}  // namespace rooksill::policy
