// HTTP replies shared by the handlers of users' requests.
#pragma once

#include <cstdint>
#include <string>

#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

// Sends replies through the context. `request` is the id of the runtime::Request to answer.
class Responder {
 public:
  Responder(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  // Replies 200 with the status of a job, which must be in the replica.
  void reply_status(uint64_t request, const std::string& id);
  // Replies 201 with the id of a job that was created.
  void reply_accepted(uint64_t request, const std::string& id);
  // Replies with an HTTP error status and the error text in the body.
  void reply_error(uint64_t request, int http_status, const std::string& error);
  // Replies 503 with Retry-After: the request had no effect or an unknown one, and may be repeated.
  void reply_retry(uint64_t request);

 private:
  runtime::Context& context_;
  const store::Replica& replica_;
};

}  // namespace rooksill::api
