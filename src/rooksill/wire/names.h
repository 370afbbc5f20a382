// Textual names of jobs, tasks and teams. Their format is the same on all interfaces.
#pragma once

#include <optional>
#include <string>

#include "rooksill/model/job.h"

namespace rooksill::wire {

// Returns whether a job id is valid: "wk-" followed by digits, at most 64 bytes in total.
bool is_valid_job_id(const std::string& id);

// Returns whether a team name can be part of a store key, and thus of the URL path that reads the
// key.
bool is_valid_team_name(const std::string& team);

// Returns the name of a task: "JOB/INDEX".
std::string task_name(const model::TaskRef& task);
// Parses a task name. Returns nullopt if it is malformed or the job id is invalid.
std::optional<model::TaskRef> parse_task_name(const std::string& name);

}  // namespace rooksill::wire
