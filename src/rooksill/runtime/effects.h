// What goes into the core (commands) and what comes out of it (effects). The core does no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace rooksill::runtime {

// ---- effects -------------------------------------------------------------------------------

enum class Target { kState, kCloud, kWorker };

struct Call {
  uint64_t id = 0;
  Target target = Target::kState;
  std::string address, method, path, body;
  double timeout_s = 1;
};

struct Reply {
  uint64_t request = 0;
  int status = 200;
  std::string body;
  double retry_after_s = 0;  // 0: no such header
};

struct PeerSend {
  std::string label;
  std::string bytes;
};

struct LogLine {
  enum class Level { kError, kInfo, kDebug } level = Level::kInfo;
  std::string component, text;
};

struct Effects {
  std::vector<Call> calls;
  std::vector<Reply> replies;
  std::vector<PeerSend> peer;
  std::vector<LogLine> log;
  void clear() {
    calls.clear();
    replies.clear();
    peer.clear();
    log.clear();
  }
};

// ---- commands ------------------------------------------------------------------------------

struct Request {  // a user's, a worker's or a health check's
  uint64_t id = 0;
  std::string method, target, body;
};

struct CallDone {
  uint64_t id = 0;
  int status = 0;  // 0: no answer
  std::string body;
  bool refused = false;  // the connection was never made, so nothing was sent
};

struct PeerMessage {
  std::string bytes;
};

struct PeerLost {  // a connection to this peer ended or was refused
  std::string label;
};

struct Tick {};

using Command = std::variant<Request, CallDone, PeerMessage, PeerLost, Tick>;

struct Time {
  double steady = 0;  // seconds, never goes back
  double wall = 0;    // seconds since the revision, within the clocks' bound
};

using CallHandler = std::function<void(const CallDone&)>;

}  // namespace rooksill::runtime
