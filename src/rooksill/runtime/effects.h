// Effects: everything that the controller's core wants done outside. The core itself does no I/O;
// the event loop, or the simulation in its place, carries them out after each batch.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rooksill::runtime {

// Who is called. The HTTP client keeps sockets for the first two when workers take up the rest.
enum class Target { kStore, kCloud, kWorker };

// An HTTP call. Its outcome comes back as a CallDone with the same id.
struct Call {
  uint64_t id = 0;
  Target target = Target::kStore;
  std::string address;  // host:port
  std::string method;
  std::string path;
  std::string body;  // JSON
  double timeout_s = 1;
};

// The answer to a Request.
struct Reply {
  uint64_t request = 0;
  int status = 200;
  std::string body;          // JSON
  double retry_after_s = 0;  // for the Retry-After header; 0: no such header
};

// A message to another controller. It may be lost.
struct PeerSend {
  std::string label;
  std::string bytes;  // a packed wire::Envelope
};

struct LogLine {
  enum class Level { kError, kInfo, kDebug };
  Level level = Level::kInfo;
  std::string component;
  std::string text;
};

// What one batch of commands led to, each kind in the order in which it was decided.
struct Effects {
  std::vector<Call> calls;
  std::vector<Reply> replies;
  std::vector<PeerSend> peer_messages;
  std::vector<LogLine> log;

  void clear() {
    calls.clear();
    replies.clear();
    peer_messages.clear();
    log.clear();
  }
};

}  // namespace rooksill::runtime
