// Jobs as scenario lines describe them.
#pragma once

#include <string>
#include <vector>

#include "runner/line.h"
#include "standins/user_job.h"

namespace runner {

// The ID of the job that scenarios call by this number.
std::string job_id(int number);

// What read_job() understands. `body.NAME=` replaces a field of the submission, `drop=` leaves one
// out.
const std::vector<std::string>& job_parameters();
standins::UserJob read_job(const Line& line, const std::string& id);

}  // namespace runner
