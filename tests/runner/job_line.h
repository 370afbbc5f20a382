// Builds the jobs that scenario lines describe.
#pragma once

#include <string>
#include <vector>

#include "runner/line.h"
#include "standins/user_job.h"

namespace runner {

// Returns the ID of the job that scenario files refer to by this number: "wk-" and at least six
// digits.
std::string job_id(int number);

// Returns the names of the parameters that read_job() accepts. `body.NAME=` overrides a field of
// the submitted JSON body; `drop=` removes one.
const std::vector<std::string>& job_parameters();
// Builds the job with this ID from a line's parameters, with defaults for those it lacks. The
// result includes the JSON body to submit.
standins::UserJob read_job(const Line& line, const std::string& id);

}  // namespace runner
