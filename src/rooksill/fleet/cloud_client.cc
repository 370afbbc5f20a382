#include "rooksill/fleet/cloud_client.h"

#include <utility>

namespace rooksill::fleet {

namespace {
constexpr double kTimeoutSeconds = 3;
}  // namespace

CloudClient::CloudClient(runtime::Context& context)
    : context_(context), rate_limit_(context.settings.platform.cloud_calls_per_s) {}

void CloudClient::start_term(uint64_t term) {
  is_leader_ = true;
  term_ = term;
}

bool CloudClient::get(const std::string& path, runtime::CallHandler on_response) {
  return send("GET", path, "", std::move(on_response));
}

bool CloudClient::post(const std::string& path, const std::string& body,
                       runtime::CallHandler on_response) {
  return send("POST", path, body, std::move(on_response));
}

bool CloudClient::send(const std::string& method, const std::string& path, const std::string& body,
                       runtime::CallHandler on_response) {
  if (!rate_limit_.try_acquire(1)) return false;
  context_.call(
      runtime::Target::kCloud, context_.settings.platform.cloud_address, method, path, body,
      kTimeoutSeconds,
      [this, term = term_, on_response = std::move(on_response)](const runtime::CallDone& done) {
        if (is_leader_ && term == term_) on_response(done);
      });
  return true;
}

}  // namespace rooksill::fleet
