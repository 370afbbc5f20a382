// Effects: the outputs of the controller's core. The core does no I/O itself; the event loop, or
// the simulation in its place, executes its effects after each batch.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rooksill::runtime {

// The kind of server that is called. Calls to the store and the cloud are not subject to the limit
// on connections, so that calls to workers cannot block them.
enum class Target { kStore, kCloud, kWorker };

// An HTTP call. Its result is returned to the core as a CallDone with the same id.
struct Call {
  uint64_t id = 0;  // unique in this process
  Target target = Target::kStore;
  std::string address;  // host:port
  std::string method;
  std::string path;
  std::string body;  // JSON
  double timeout_s = 1;
};

// The answer to a Request.
struct Reply {
  uint64_t request = 0;      // the Request's id
  int status = 200;          // HTTP status
  std::string body;          // JSON
  double retry_after_s = 0;  // for the Retry-After header; 0: no such header
};

// A message to another controller. It may be lost.
struct PeerSend {
  std::string label;  // of the receiver
  std::string bytes;  // a packed wire::Envelope
};

// One line for the controller's log.
struct LogLine {
  enum class Level { kError, kInfo, kDebug };
  Level level = Level::kInfo;
  std::string component;  // the part of the controller that logs it
  std::string text;
};

// The effects of one batch of commands, each kind in the order in which the core produced them.
struct Effects {
  std::vector<Call> calls;
  std::vector<Reply> replies;
  std::vector<PeerSend> peer_messages;
  std::vector<LogLine> log;

  // Removes all effects.
  void clear() {
    calls.clear();
    replies.clear();
    peer_messages.clear();
    log.clear();
  }
};

}  // namespace rooksill::runtime
