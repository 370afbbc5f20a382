// The settings that the platform provides to each controller of a simulated deployment.
#pragma once

#include <string>
#include <vector>

#include "standins/controller_cluster.h"
#include "standins/user_job.h"
#include "standins/world_options.h"

namespace standins {

// Returns one entry for each controller; they are labelled "c0", "c1", etc. The settings of the
// first version do not contain the limits that the store has announced, since it does not read
// them.
std::vector<ControllerSettings> make_settings(const WorldOptions& options,
                                              const std::vector<std::string>& zones,
                                              const TeamQuotas& teams);

}  // namespace standins
