// The actions of scenarios of kind `world`: what `at TIME ACTION …` schedules in the simulated
// deployment, such as job submissions and faults.
#pragma once

#include "runner/line.h"
#include "standins/world.h"

namespace runner {

// Checks a line that begins with the action's name. Throws a Failure if the action or a parameter
// is unknown.
void check_action(const Line& line);
// Runs the action now, in simulated time. Throws a Failure if an argument is invalid.
void run_action(standins::World& world, const Line& line);

}  // namespace runner
