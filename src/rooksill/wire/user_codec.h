// The wire between users and controllers.
#pragma once

#include <optional>
#include <string>

#include "rooksill/model/job.h"

namespace rooksill::wire {

// Nothing if the body is malformed; `error` then names the field.
std::optional<model::JobSpec> parse_job(const std::string& body, std::string& error);
std::string encode_status(const model::Job& job);
std::string encode_accepted(const std::string& id);
std::string encode_error(const std::string& text);

}  // namespace rooksill::wire
