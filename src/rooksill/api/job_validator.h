// Checks that a submitted job can run in this cluster at all.
#pragma once

#include <optional>
#include <string>

#include "rooksill/model/job.h"
#include "rooksill/settings/settings.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

// Returns why the job can never run, as an error text for the user, or nothing if it can. The
// replica must have the machine types.
std::optional<std::string> rejection_reason(const model::JobSpec& spec,
                                            const PlatformSettings& platform,
                                            const store::Replica& replica);

}  // namespace rooksill::api
