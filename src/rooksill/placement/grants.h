// How a team's limit is split among the blocks.
#pragma once

#include "rooksill/core/model.h"
#include "rooksill/settings/settings.h"

namespace rooksill::placement {

// Each block gets an equal part that never shrinks, so no holder has to agree to less. A limit too
// small to be cut (`whole_below`) goes to one block alone. 0 means none in the settings; here a
// limit that is not set is infinite.
double granted(double limit, double whole_below, const std::string& team, int block, int blocks);

// The same for a team's limit on cores, given the machine types there are.
double granted_cpus(const Settings& settings, const std::map<std::string, core::MachineType>& types,
                    const std::string& team, int block, int blocks);

// The block that places a chunk of a job while no leader routes it: the same on every controller,
// and after two reports of waiting the next one.
int dealt_block(const Settings& settings, const std::map<std::string, core::MachineType>& types,
                const core::Job& job, uint32_t chunk, int blocks, double wall);

}  // namespace rooksill::placement
