// Services shared by all parts of the controller's core: settings, time, random numbers, calls,
// replies, logging and counters.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "rooksill/runtime/commands.h"
#include "rooksill/runtime/counters.h"
#include "rooksill/runtime/effects.h"
#include "rooksill/runtime/pending_calls.h"
#include "rooksill/settings/settings.h"

namespace rooksill::runtime {

// There is one context per process. The core is deterministic: the same settings, seed and batches
// of commands lead to the same effects. No part of the core may read a clock or generate random
// numbers in any other way.
class Context {
 public:
  // Keeps a reference to `process_settings`, which must outlive the context. `seed` initializes the
  // random number generator.
  Context(const Settings& process_settings, uint64_t seed)
      : settings(process_settings), rng(seed), incarnation((rng() >> 1) | 1) {}

  // Makes an HTTP call after the present batch. `handler` runs exactly once, in the batch that
  // contains the call's result. See Call for the arguments.
  void call(Target target, std::string address, std::string method, std::string path,
            std::string body, double timeout_s, CallHandler handler) {
    const uint64_t id = pending_calls_.add(now.steady, timeout_s, std::move(handler));
    effects_.calls.push_back({id, target, std::move(address), std::move(method), std::move(path),
                              std::move(body), timeout_s});
  }
  // Runs the handler of the call that the result belongs to.
  void finish_call(const CallDone& result) { pending_calls_.finish(now.steady, result); }

  // Answers the Request with this id. `retry_after_s` is the value of the Retry-After header; 0: no
  // such header.
  void reply(uint64_t request, int status, std::string body, double retry_after_s = 0) {
    effects_.replies.push_back({request, status, std::move(body), retry_after_s});
  }

  // Sends a packed wire::Envelope to the controller with this label. The message may be lost.
  void send_to_peer(const std::string& label, std::string bytes) {
    effects_.peer_messages.push_back({label, std::move(bytes)});
  }

  // Log a message under the name of a component. Debug messages are dropped unless enabled.
  template <typename... Args>
  void info(const std::string& component, fmt::format_string<Args...> format, Args&&... args) {
    log(LogLine::Level::kInfo, component, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void debug(const std::string& component, fmt::format_string<Args...> format, Args&&... args) {
    if (!debug_log_) return;
    log(LogLine::Level::kDebug, component, fmt::format(format, std::forward<Args>(args)...));
  }
  // Enables or disables debug messages.
  void enable_debug_log(bool enabled) { debug_log_ = enabled; }
  // Returns whether debug messages are logged.
  bool is_debug_log_enabled() const { return debug_log_; }

  // Adds to the counter of this name. All counters are logged periodically.
  void count(const char* counter, double amount = 1) { counters_.add(counter, amount); }
  // Returns the counters by name and resets them.
  std::map<std::string, double> consume_counters() { return counters_.consume(); }

  // Returns a random number in [low, high).
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(rng);
  }

  // Returns the effects of the present batch so far.
  Effects& effects() { return effects_; }

  const Settings& settings;
  Time now;             // of the present batch
  std::mt19937_64 rng;  // the only source of random numbers
  // Distinguishes the processes that run as the same controller; grows with each start.
  uint64_t incarnation;
  // When this process last resumed after a pause, in steady seconds.
  double resumed_at = -1e9;

 private:
  void log(LogLine::Level level, std::string component, std::string text) {
    effects_.log.push_back({level, std::move(component), std::move(text)});
  }

  Effects effects_;
  PendingCalls pending_calls_;
  Counters counters_;
  bool debug_log_ = false;
};

}  // namespace rooksill::runtime
