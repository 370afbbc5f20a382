// The source of all chance in a simulated deployment.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>

namespace standins {

// A generator seeded once per run. A scenario replays exactly only if its draws come in the same
// order and number, so every method says how many it makes: one, unless stated otherwise.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  uint64_t next() { return engine_(); }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(engine_);
  }
  double uniform_unit() { return uniform(0, 1); }
  // True with this probability. Draws also if the probability is 0.
  bool bernoulli(double probability) { return uniform_unit() < probability; }
  // An index into a list of `count` entries; `count` is not 0.
  size_t index(size_t count) { return engine_() % count; }
  // Draws as often as std::shuffle does for the list's length.
  template <typename List>
  void shuffle(List& list) {
    std::shuffle(list.begin(), list.end(), engine_);
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace standins
