// The wire between users and controllers.
#pragma once

#include <optional>
#include <string>

#include "rooksill/core/model.h"

namespace rooksill::api {

// Nothing if the body is malformed; `error` then names the field.
std::optional<core::JobSpec> parse_job(const std::string& body, std::string& error);
std::string encode_status(const core::Job& job);
std::string encode_accepted(const std::string& id);
std::string encode_error(const std::string& text);

}  // namespace rooksill::api
