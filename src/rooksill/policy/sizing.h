// The machine leasing rule of England and Weissman: the number of machines to rent or return at the
// start of a period, computed by their Algorithm 1 (a backward pass over the coming periods). Pure
// functions; docs/design.md says what was changed and why.
//
// Time is counted in periods, and tasks in machines: a task counts as the share of a machine that
// it uses. The paper's symbols, which the comments use:
//   x_k   machines rented at the start of period k
//   y_k   machines busy at the start of period k
//   u_k   machines to rent at the start of period k; negative: to return
//   v     unplanned rentals within a period
//   R     the maximum number of machines
//   N     the number of periods in the planning horizon
//   λ     arrivals per period
//   μ     completions per busy machine and period
#pragma once

#include <vector>

namespace rooksill::policy {

// The state of one pool of machines and the parameters of the rule.
struct SizingInput {
  int rented = 0;            // x
  double busy = 0;           // y
  double arrival_rate = 0;   // λ
  double service_rate = 1;   // μ
  double period_length = 1;  // in periods
  int max_machines = 32;     // R
  int horizon_periods = 3;   // N
  // The cost of a period is c1·max(0, u) + c2·E[v] + h·(x + u).
  double planned_cost = 1;    // c1, of a planned rental
  double unplanned_cost = 6;  // c2, of an unplanned rental
  double holding_cost = 1;    // h, of holding a machine for a period
};

// The decision for the first period and its expected outcome.
struct SizingResult {
  int machines_to_rent = 0;       // u; negative: machines to return
  double cost = 0;                // expected, of this and all later periods of the horizon, with u
  double expected_busy = 0;       // E[y_{k+1}], machines busy at the end of the period
  double expected_unplanned = 0;  // E[v] with u
};

// Returns E[y_{k+1}] = (λ/μ)(1 − e^(−μt)) + y·e^(−μt), the expected number of machines that are
// busy after `duration` (t) if `busy` (y) are busy at its start (the paper's appendix A).
double expected_busy(double duration, double busy, double service_rate, double arrival_rate);

// Returns P2(s) = P[W(s) + Z(s) >= rented], the probability that all rented machines are busy after
// `duration` (s). W is Poisson: tasks that arrived since and are still running. Z is binomial:
// those of the `busy` tasks at the start that are still running (the paper's appendix A).
double probability_all_busy(double duration, int busy, int rented, double service_rate,
                            double arrival_rate);

// Returns E[v] = λ ∫ P2(s) ds from 0 to `duration`, the expected number of unplanned rentals,
// integrated by the trapezoidal rule (the paper's equation 3).
double expected_unplanned_rentals(double duration, int busy, int rented, double service_rate,
                                  double arrival_rate);

// Returns the u of the first period that minimizes the cost over all periods. The constraint is
// y − x ≤ u ≤ R − x.
SizingResult size_fleet(const SizingInput& input);

}  // namespace rooksill::policy
