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
  int rented = 0;
  double busy = 0;
  double arrival_rate = 0;
  double service_rate = 1;
  double period_length = 1;      // a period's length, in periods
  int max_machines = 32;  // R
  int horizon_periods = 3;   // N
  // The cost of a period: c1·max(0, u) + c2·E[v] + h·(x + u).
  double planned_cost = 1;  // of a planned rental
  double unplanned_cost = 6;  // of an unplanned rental
  double holding_cost = 1;   // of holding a machine for a period
};

struct SizingResult {
  int machines_to_rent = 0;
  double cost = 0;        // of this period and all after it, with that u
  double expected_busy = 0;  // E[y_{k+1}]
  double expected_unplanned = 0;  // E[v] with that u
};

// E[y_{k+1}] = (λ/μ)(1 − e^(−μt)) + y·e^(−μt), the machines busy after t (the paper's appendix A).
double expected_busy(double duration, double busy, double service_rate, double arrival_rate);

// P2(s) = P[W(s) + Z(s) >= rented], the chance that after s all rented machines are busy. W is
// Poisson: tasks that arrived and still run; Z is binomial: tasks of the y that still run (the
// paper's appendix A).
double probability_all_busy(double duration, int busy, int rented, double service_rate, double arrival_rate);

// E[v] = λ ∫ P2(s) ds from 0 to t, by trapezoids (the paper's equation 3).
double expected_unplanned_rentals(double duration, int busy, int rented, double service_rate, double arrival_rate);

// The u of the first period that costs least over all periods, with y − x ≤ u ≤ R − x.
SizingResult size_fleet(const SizingInput& input);

}  // namespace rooksill::policy
