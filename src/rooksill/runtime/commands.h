// Commands: the inputs of the controller's core. The event loop, or the simulation in its place,
// collects them into batches and passes each batch to the core together with the current time.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace rooksill::runtime {

// An HTTP request from a user, a worker or a health check. The core answers it by a Reply with the
// same id.
struct Request {
  uint64_t id = 0;  // unique in this process
  std::string method;
  std::string target;  // path, with a query if there is one
  std::string body;
};

// The result of a Call.
struct CallDone {
  uint64_t id = 0;  // of the Call
  int status = 0;   // HTTP status; 0: no response within the timeout, or the connection failed
  std::string body;
  bool connection_refused = false;  // no connection was established, so nothing was sent
};

// One message from another controller, without its framing.
struct PeerMessage {
  std::string bytes;  // a packed wire::Envelope
};

// An established connection to another controller ended. A refused attempt to connect is not
// reported.
struct PeerDisconnected {
  std::string label;  // of the other controller
};

// Starts a batch at regular intervals, so that timeouts are checked without other commands.
struct Tick {};

// One input of the core.
using Command = std::variant<Request, CallDone, PeerMessage, PeerDisconnected, Tick>;

// The clocks of this process, read once per batch.
struct Time {
  // Seconds of the monotonic clock. All timeouts, intervals and leases are measured by it. Its
  // epoch is arbitrary, so values of different processes cannot be compared.
  double steady = 0;
  // Seconds since the Unix epoch, with an error of at most `PlatformSettings::max_clock_error_s`.
  // Only for times that are stored or shared: of submission, rental and termination.
  double wall = 0;
};

}  // namespace rooksill::runtime
