// What a scenario can expect of a world: `expect WHAT …`.
#pragma once

#include "runner/line.h"
#include "standins/world.h"

namespace runner {

// Throws a Failure if the line, which begins with WHAT, cannot be checked as written.
void check_expectation(const Line& line);
// Throws a Failure if the world is not as expected.
void run_expectation(const standins::World& world, const Line& line);

}  // namespace runner
