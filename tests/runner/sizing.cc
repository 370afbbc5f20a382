// Scenarios of kind `sizing`: figures of the fleet-sizing rule against values worked out apart from
// the code.
#include "rooksill/policy/sizing.h"

#include "rooksill/policy/demand.h"
#include "runner/kinds.h"
#include "runner/verb_table.h"

namespace runner {

namespace {

namespace policy = rooksill::policy;

constexpr double kTolerance = 1e-6;

void expect_near(const Line& line, double got) {
  near(line, got, line.get("is", 0), line.get("within", kTolerance));
}

void busy(policy::Demand&, const Line& line) {
  expect_near(line, policy::expected_busy(line.get("t", 1), line.get("y", 0), line.get("mu", 1),
                                          line.get("lambda", 1)));
}

void full(policy::Demand&, const Line& line) {
  expect_near(line, policy::probability_all_busy(line.get("s", 1), line.get_integer("y", 0),
                                                 line.get_integer("rented", 1), line.get("mu", 1),
                                                 line.get("lambda", 1)));
}

void unplanned(policy::Demand&, const Line& line) {
  expect_near(line, policy::expected_unplanned_rentals(line.get("t", 1), line.get_integer("y", 0),
                                                       line.get_integer("rented", 1),
                                                       line.get("mu", 1), line.get("lambda", 1)));
}

policy::SizingInput read_input(const Line& line) {
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

void size(policy::Demand&, const Line& line) {
  const auto result = policy::size_fleet(read_input(line));
  if (line.has("u")) near(line, result.machines_to_rent, line.get("u", 0), 0);
  if (line.has("at_least") && result.machines_to_rent < line.get("at_least", 0))
    fail(line, "u is " + std::to_string(result.machines_to_rent));
  if (line.has("at_most") && result.machines_to_rent > line.get("at_most", 0))
    fail(line, "u is " + std::to_string(result.machines_to_rent));
  if (line.has("cost"))
    near(line, result.cost, line.get("cost", 0), line.get("within", kTolerance));
}

void period(policy::Demand& demand, const Line& line) {
  demand.record_arrival(line.get("arrived", 0));
  demand.record_completion(line.get("finished", 0));
  demand.record_busy(line.get("busy", 0), 1);
  demand.end_period(1, line.get("cap", 3));
}

void demand(policy::Demand& demand, const Line& line) {
  const double tolerance = line.get("within", kTolerance);
  if (line.has("lambda")) near(line, demand.arrival_rate(), line.get("lambda", 0), tolerance);
  if (line.has("mu")) near(line, demand.service_rate(), line.get("mu", 0), tolerance);
}

const VerbTable<policy::Demand>& verbs() {
  static const VerbTable<policy::Demand> kVerbs(
      "figure", {
                    {"kind", {}, [](policy::Demand&, const Line&) {}},
                    {"busy", {"t", "y", "mu", "lambda", "is", "within"}, busy},
                    {"full", {"s", "y", "rented", "mu", "lambda", "is", "within"}, full},
                    {"unplanned", {"t", "y", "rented", "mu", "lambda", "is", "within"}, unplanned},
                    {"size",
                     {"x", "y", "lambda", "mu", "ceiling", "periods", "c1", "c2", "h", "u",
                      "at_least", "at_most", "cost", "within"},
                     size},
                    {"period", {"arrived", "finished", "busy", "cap"}, period},
                    {"demand", {"lambda", "mu", "within"}, demand},
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
