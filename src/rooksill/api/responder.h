// The answers that all users' requests share.
#pragma once

#include <cstdint>
#include <string>

#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

class Responder {
 public:
  Responder(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  // 200 with the status of a job that is in the replica.
  void reply_status(uint64_t request, const std::string& id);
  // 201 with the id of a job that was created.
  void reply_accepted(uint64_t request, const std::string& id);
  // An error with its text in the body.
  void reply_error(uint64_t request, int http_status, const std::string& error);
  // 503 with Retry-After: the request had no effect, or an unknown one, and may be repeated.
  void reply_retry(uint64_t request);

 private:
  runtime::Context& context_;
  const store::Replica& replica_;
};

}  // namespace rooksill::api
