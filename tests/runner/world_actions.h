// What a scenario can do to a running world: `at TIME ACTION …`.
#pragma once

#include "runner/line.h"
#include "standins/world.h"

namespace runner {

// Throws a Failure if the line, which begins with the action, cannot be carried out as written.
void check_action(const Line& line);
void run_action(standins::World& world, const Line& line);

}  // namespace runner
