// Requests and answers as the stand-ins exchange them: HTTP without its transport.
#pragma once

#include <string>

namespace standins {

struct HttpRequest {
  std::string method, target, body;
};

struct HttpResponse {
  int status = 0;  // 0: none came
  std::string body;
  double retry_after_s = 0;  // 0: no such header
};

}  // namespace standins
