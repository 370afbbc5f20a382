// Names of jobs, tasks and teams as text: their form is the same on all interfaces.
#pragma once

#include <optional>
#include <string>

#include "rooksill/model/job.h"

namespace rooksill::wire {

// A job's id is "wk-" and digits, 64 bytes at most.
bool is_valid_job_id(const std::string& id);

// Whether a team's name may be part of a key of the store, and of the path that reads the key.
bool is_valid_team_name(const std::string& team);

// "JOB/INDEX".
std::string task_name(const model::TaskRef& task);
// Nothing unless the text is the name of a task of a job with a valid id.
std::optional<model::TaskRef> parse_task_name(const std::string& name);

}  // namespace rooksill::wire
