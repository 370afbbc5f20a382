// Calls that were made and whose outcome is still to come.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>

#include "rooksill/runtime/commands.h"

namespace rooksill::runtime {

using CallHandler = std::function<void(const CallDone&)>;

class PendingCalls {
 public:
  // Registers a call made at `now` (steady seconds) and returns its id.
  uint64_t add(double now, double timeout_s, CallHandler handler) {
    const uint64_t id = next_id_++;
    pending_.emplace(id, PendingCall{std::move(handler), now + timeout_s + kLateResponseToleranceS});
    return id;
  }

  // Runs the call's handler with its outcome; an outcome of an unknown call is dropped. An answer
  // that arrives too late counts as none: after this process stood still, an answer that waited
  // longer than its timeout says what was true then and nothing about now.
  void finish(double now, const CallDone& done) {
    auto it = pending_.find(done.id);
    if (it == pending_.end()) return;
    // The handler may make further calls, so the entry goes first.
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

  // By how much an answer may exceed its timeout and still count, in seconds.
  static constexpr double kLateResponseToleranceS = 0.5;

  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, PendingCall> pending_;
};

}  // namespace rooksill::runtime
