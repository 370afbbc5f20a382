// A controller as a process: its core with the event loop and the network around it.
#pragma once

#include "rooksill/settings/settings.h"

namespace rooksill::controller {

// Runs until the process is killed. Throws std::runtime_error if it cannot start.
void serve(const Settings& settings);

}  // namespace rooksill::controller
