// The expectations of scenarios of kind `world`: `expect NAME …` checks the state of the simulated
// deployment.
#pragma once

#include "runner/line.h"
#include "standins/world.h"

namespace runner {

// Checks a line that begins with the expectation's name. Throws a Failure if the expectation or a
// parameter is unknown.
void check_expectation(const Line& line);
// Throws a Failure if the deployment does not meet the expectation.
void run_expectation(const standins::World& world, const Line& line);

}  // namespace runner
