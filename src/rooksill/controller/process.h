// A controller process: the controller core with its event loop and network connections.
#pragma once

#include "rooksill/settings/settings.h"

namespace rooksill::controller {

// Runs a controller with the given settings until the process is killed. Throws std::runtime_error
// if it cannot listen on its addresses.
void serve(const Settings& settings);

}  // namespace rooksill::controller
