// How a team's limit is divided among the blocks.
#pragma once

#include "rooksill/core/replica.h"
#include "rooksill/settings/settings.h"

namespace rooksill::placement {

// What a block may use of a team's limit: by the state's record if there is one, else an even
// share. A limit too small for every block to run two of the largest machine's tasks lies with one
// block at first. 0 means no limit in the settings; here a limit that is not set is infinite.
core::LimitShare limit_share(const Settings& settings, const core::Replica& replica,
                             const std::string& team, int block);

// The block with all or most of a limit too small to be divided evenly; -1: it is divided.
int only_home(const Settings& settings, const core::Replica& replica, const std::string& team);

// The block that places a chunk of a job while no leader routes it: the same on every controller,
// and after two reports of waiting the next one.
int dealt_block(const Settings& settings, const core::Replica& replica, const core::Job& job,
                uint32_t chunk, double wall);

}  // namespace rooksill::placement
