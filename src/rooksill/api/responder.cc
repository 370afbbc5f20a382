#include "rooksill/api/responder.h"

#include "rooksill/wire/user_codec.h"

namespace rooksill::api {

namespace {
constexpr double kRetryAfterS = 1;  // the shortest interval at which users retry
}  // namespace

void Responder::reply_status(uint64_t request, const std::string& id) {
  const model::Job* job = replica_.job(id);
  if (job == nullptr) return reply_retry(request);
  context_.reply(request, 200, wire::encode_status(*job));
}

void Responder::reply_accepted(uint64_t request, const std::string& id) {
  context_.reply(request, 201, wire::encode_accepted(id));
}

void Responder::reply_error(uint64_t request, int http_status, const std::string& error) {
  context_.reply(request, http_status, wire::encode_error(error));
}

void Responder::reply_retry(uint64_t request) {
  context_.count("put_off");
  context_.reply(request, 503, wire::encode_error("try again"), kRetryAfterS);
}

}  // namespace rooksill::api
