// Requests to the cloud's API.
#pragma once

#include <cstdint>
#include <string>

#include "rooksill/runtime/context.h"
#include "rooksill/runtime/effects.h"
#include "rooksill/store/client.h"

namespace rooksill::fleet {

// Keeps to the cloud's limit on requests per second, and drops the responses to requests of a
// former term: what they were to change has been cleared since.
class CloudClient {
 public:
  explicit CloudClient(runtime::Context& context);

  void start_term(uint64_t term);
  // Until the next term nothing is sent, and no response is taken.
  void end_term() { is_leader_ = false; }
  bool is_leader() const { return is_leader_; }
  // Adds to the request budget what came in since the last call.
  void refill_rate_limit() { rate_limit_.refill(context_.now.steady); }

  // Each returns false, and never calls the handler, if the rate limit allows no request now.
  // A request without a response in time is reported to the handler as status 0.
  [[nodiscard]] bool get(const std::string& path, runtime::CallHandler on_response);
  [[nodiscard]] bool post(const std::string& path, const std::string& body,
                          runtime::CallHandler on_response);

 private:
  bool send(const std::string& method, const std::string& path, const std::string& body,
            runtime::CallHandler on_response);

  runtime::Context& context_;
  store::RateLimit rate_limit_;
  bool is_leader_ = false;
  uint64_t term_ = 0;
};

}  // namespace rooksill::fleet
