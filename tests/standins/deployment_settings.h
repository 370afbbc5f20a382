// The settings that the platform hands to each controller of a simulated deployment.
#pragma once

#include <string>
#include <vector>

#include "standins/controller_cluster.h"
#include "standins/user_job.h"
#include "standins/world_options.h"

namespace standins {

// One entry for each controller; they are labelled "c0", "c1" and so on. The version before upgrade
// records does not read which limits the store has announced.
std::vector<ControllerSettings> make_settings(const WorldOptions& options,
                                              const std::vector<std::string>& zones,
                                              const TeamQuotas& teams);

}  // namespace standins
