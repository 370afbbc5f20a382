// Commands: everything that reaches the controller's core from outside. The event loop, or the
// simulation in its place, gathers them into batches and hands each batch over with the time.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace rooksill::runtime {

// An HTTP request from a user, a worker or a health check. It is answered by a Reply with its id.
struct Request {
  uint64_t id = 0;
  std::string method;
  std::string target;  // path, with a query if there is one
  std::string body;
};

// The outcome of a Call.
struct CallDone {
  uint64_t id = 0;
  int status = 0;  // HTTP status; 0: no answer in time, or the connection failed
  std::string body;
  bool connection_refused = false;  // the connection was never made, so nothing was sent
};

// One framed message from another controller: a packed wire::Envelope.
struct PeerMessage {
  std::string bytes;
};

// The connection to another controller ended or was refused.
struct PeerDisconnected {
  std::string label;
};

// The time has moved on and nothing else has happened.
struct Tick {};

using Command = std::variant<Request, CallDone, PeerMessage, PeerDisconnected, Tick>;

// The two clocks of this process, read once for each batch.
struct Time {
  // Seconds by the monotonic clock, which never goes back. All timeouts, intervals and leases are
  // reckoned by it. Its zero is arbitrary: its values mean nothing to another process.
  double steady = 0;
  // Seconds since the Unix epoch, off by at most `PlatformSettings::clock_error_s`. Only for what
  // is stored or shared: times of submission, rental and termination.
  double wall = 0;
};

}  // namespace rooksill::runtime
