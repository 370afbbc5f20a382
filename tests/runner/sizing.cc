// Scenarios of kind `sizing`: compares the results of the fleet-sizing rule and the demand
// estimates with values that were computed independently of the code.
#include "rooksill/policy/sizing.h"

#include "rooksill/policy/demand.h"
#include "runner/kinds.h"
#include "runner/verb_table.h"

namespace runner {

namespace {

namespace policy = rooksill::policy;

constexpr double kTolerance = 1e-6;  // absolute; `within=` overrides it

// Compares the result with the parameter `is`, within the tolerance `within`.
void expect_figure(const Line& line, double got) {
  expect_near(line, got, line.get("is", 0), line.get("within", kTolerance));
}

void check_expected_busy(policy::Demand&, const Line& line) {
  expect_figure(line, policy::expected_busy(line.get("t", 1), line.get("y", 0), line.get("mu", 1),
                                            line.get("lambda", 1)));
}

void check_chance_full(policy::Demand&, const Line& line) {
  expect_figure(line, policy::probability_all_busy(line.get("s", 1), line.get_integer("y", 0),
                                                   line.get_integer("rented", 1), line.get("mu", 1),
                                                   line.get("lambda", 1)));
}

void check_expected_unplanned(policy::Demand&, const Line& line) {
  expect_figure(line, policy::expected_unplanned_rentals(line.get("t", 1), line.get_integer("y", 0),
                                                         line.get_integer("rented", 1),
                                                         line.get("mu", 1), line.get("lambda", 1)));
}

policy::SizingInput read_sizing_input(const Line& line) {
  policy::SizingInput input;
  input.rented = line.get_integer("x", 0);
  input.busy = line.get("y", 0);
  input.arrival_rate = line.get("lambda", 1);
  input.service_rate = line.get("mu", 1);
  input.max_machines = line.get_integer("ceiling", 20);
  input.horizon_periods = line.get_integer("periods", 3);
  input.planned_cost = line.get("c1", 1);
  input.unplanned_cost = line.get("c2", 3);
  input.holding_cost = line.get("h", 1);
  return input;
}

// Checks u, the number of machines that the rule rents (releases, if negative), and the cost.
void check_fleet_size(policy::Demand&, const Line& line) {
  const auto result = policy::size_fleet(read_sizing_input(line));
  if (line.has("u")) expect_near(line, result.machines_to_rent, line.get("u", 0), 0);
  if (line.has("at_least") && result.machines_to_rent < line.get("at_least", 0))
    fail(line, "u is " + std::to_string(result.machines_to_rent));
  if (line.has("at_most") && result.machines_to_rent > line.get("at_most", 0))
    fail(line, "u is " + std::to_string(result.machines_to_rent));
  if (line.has("cost"))
    expect_near(line, result.cost, line.get("cost", 0), line.get("within", kTolerance));
}

// Feeds the demand estimator one period's arrivals, completions and busy machines.
void record_period(policy::Demand& demand, const Line& line) {
  demand.record_arrival(line.get("arrived", 0));
  demand.record_completion(line.get("finished", 0));
  demand.record_busy(line.get("busy", 0), 1);
  demand.end_period(1, line.get("cap", 3));
}

// Checks the estimated arrival rate (lambda) and completion rate (mu).
void check_demand_estimates(policy::Demand& demand, const Line& line) {
  const double tolerance = line.get("within", kTolerance);
  if (line.has("lambda"))
    expect_near(line, demand.arrival_rate(), line.get("lambda", 0), tolerance);
  if (line.has("mu")) expect_near(line, demand.service_rate(), line.get("mu", 0), tolerance);
}

const VerbTable<policy::Demand>& verbs() {
  static const VerbTable<policy::Demand> kVerbs(
      "figure",
      {
          {"kind", {}, [](policy::Demand&, const Line&) {}},
          {"busy", {"t", "y", "mu", "lambda", "is", "within"}, check_expected_busy},
          {"full", {"s", "y", "rented", "mu", "lambda", "is", "within"}, check_chance_full},
          {"unplanned",
           {"t", "y", "rented", "mu", "lambda", "is", "within"},
           check_expected_unplanned},
          {"size",
           {"x", "y", "lambda", "mu", "ceiling", "periods", "c1", "c2", "h", "u", "at_least",
            "at_most", "cost", "within"},
           check_fleet_size},
          {"period", {"arrived", "finished", "busy", "cap"}, record_period},
          {"demand", {"lambda", "mu", "within"}, check_demand_estimates},
      });
  return kVerbs;
}

}  // namespace

void run_sizing(const std::vector<Line>& lines) {
  for (const auto& line : lines) verbs().check(line);
  policy::Demand demand;
  for (const auto& line : lines) verbs().run(demand, line);
}

}  // namespace runner
