// Outgoing calls whose results are pending.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>

#include "rooksill/runtime/commands.h"

namespace rooksill::runtime {

// Handles the result of a call.
using CallHandler = std::function<void(const CallDone&)>;

// Maps the ids of pending calls to their handlers.
class PendingCalls {
 public:
  // Registers a call made at `now` (steady seconds) and returns its id.
  uint64_t add(double now, double timeout_s, CallHandler handler) {
    const uint64_t id = next_id_++;
    pending_.emplace(id,
                     PendingCall{std::move(handler), now + timeout_s + kLateResponseToleranceS});
    return id;
  }

  // Runs the call's handler with its result; the result of an unknown call is dropped. A response
  // that is processed long after its timeout is passed on as no response (status 0): after a pause
  // of this process, a response that was received before or during the pause may be stale.
  void finish(double now, const CallDone& done) {
    auto it = pending_.find(done.id);
    if (it == pending_.end()) return;
    // The handler may add calls, so the entry is removed before it runs.
    PendingCall call = std::move(it->second);
    pending_.erase(it);
    if (now > call.deadline) return call.handler({done.id, 0, "", false});
    call.handler(done);
  }

 private:
  struct PendingCall {
    CallHandler handler;
    double deadline = 0;  // steady seconds
  };

  // How long after its timeout a response is still accepted, in seconds.
  static constexpr double kLateResponseToleranceS = 0.5;

  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, PendingCall> pending_;
};

}  // namespace rooksill::runtime
