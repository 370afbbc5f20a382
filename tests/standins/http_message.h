// HTTP requests and responses as the simulated processes exchange them, without transport.
#pragma once

#include <string>

namespace standins {

struct HttpRequest {
  std::string method, target, body;
};

struct HttpResponse {
  int status = 0;  // 0: no response was received
  std::string body;
  double retry_after_s = 0;  // value of Retry-After; 0: no such header
};

}  // namespace standins
