// What the parts of the core share: the time, the effects being gathered, calls under way.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

#include "rooksill/runtime/effects.h"
#include "rooksill/settings/settings.h"

namespace rooksill::runtime {

class Context {
 public:
  Context(const Settings& s, uint64_t seed)
      : settings(s), rng(seed), incarnation((rng() >> 1) | 1) {}

  void call(Target target, std::string address, std::string method, std::string path,
            std::string body, double timeout_s, CallHandler handler) {
    Call c{next_call_++,    target,          std::move(address), std::move(method),
           std::move(path), std::move(body), timeout_s};
    handlers_.emplace(c.id, UnderWay{std::move(handler), now.steady + timeout_s + kLateAnswer});
    out.calls.push_back(std::move(c));
  }

  void finish(const CallDone& done) {
    auto it = handlers_.find(done.id);
    if (it == handlers_.end()) return;
    UnderWay call = std::move(it->second);
    handlers_.erase(it);
    // Guards against a process that stood still: an answer that waited longer than it would have
    // been waited for says what was true then, and nothing about now.
    if (now.steady > call.until) return call.handler({done.id, 0, "", false});
    call.handler(done);
  }

  void reply(uint64_t request, int status, std::string body, double retry_after_s = 0) {
    out.replies.push_back({request, status, std::move(body), retry_after_s});
  }

  template <typename... Args>
  void info(std::string component, fmt::format_string<Args...> f, Args&&... args) {
    out.log.push_back(
        {LogLine::Level::kInfo, std::move(component), fmt::format(f, std::forward<Args>(args)...)});
  }
  template <typename... Args>
  void debug(std::string component, fmt::format_string<Args...> f, Args&&... args) {
    if (!debug_on) return;
    out.log.push_back({LogLine::Level::kDebug, std::move(component),
                       fmt::format(f, std::forward<Args>(args)...)});
  }

  // What was done, by name; told at intervals in the log.
  void count(const char* what, double n = 1) { counts[what] += n; }

  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(rng);
  }

  const Settings& settings;
  Time now;
  Effects out;
  std::mt19937_64 rng;
  uint64_t incarnation;
  double resumed_at =
      -1e9;  // when this process last went on after standing still, by the steady clock
  bool debug_on = false;
  std::map<std::string, double> counts;

 private:
  struct UnderWay {
    CallHandler handler;
    double until = 0;
  };
  static constexpr double kLateAnswer = 0.5;  // s beyond its time that an answer still counts
  uint64_t next_call_ = 1;
  std::unordered_map<uint64_t, UnderWay> handlers_;
};

}  // namespace rooksill::runtime
