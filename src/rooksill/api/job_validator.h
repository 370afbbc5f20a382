// Whether a job that a user submits can run in this cluster at all.
#pragma once

#include <optional>
#include <string>

#include "rooksill/model/job.h"
#include "rooksill/settings/settings.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

// The reason why the job could never run, in words for its user; nothing if it can. The replica has
// to know the machine types.
std::optional<std::string> rejection_reason(const model::JobSpec& spec,
                                            const PlatformSettings& platform,
                                            const store::Replica& replica);

}  // namespace rooksill::api
