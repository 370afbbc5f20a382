// HTTP client of the cloud's API.
#pragma once

#include <cstdint>
#include <string>

#include "rooksill/runtime/context.h"
#include "rooksill/runtime/effects.h"
#include "rooksill/store/client.h"

namespace rooksill::fleet {

// Observes the cloud's limit on requests per second. Drops responses to requests of a former term,
// because the state they refer to has been reset.
class CloudClient {
 public:
  explicit CloudClient(runtime::Context& context);

  // Accepts responses to requests sent from now on, until the term ends.
  void start_term(uint64_t term);
  // Drops all responses until the next term starts.
  void end_term() { is_leader_ = false; }
  // Returns whether a term is in progress, that is, whether this controller is the leader.
  bool is_leader() const { return is_leader_; }
  // Adds the requests allowed since the last call to the rate limit's budget.
  void refill_rate_limit() { rate_limit_.refill(context_.now.steady); }

  // Send a request. Return false, without ever calling the handler, if the rate limit allows no
  // request now. If the request times out, the handler receives status 0.
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
