// The random number generator of a simulated deployment.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>

namespace standins {

// Seeded once per run. A run is reproducible only if the random numbers are drawn in the same order
// and number. Each method draws one, unless stated otherwise.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  // Returns a number from the whole range of uint64_t.
  uint64_t next() { return engine_(); }
  // Returns a number from the interval [low, high).
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(engine_);
  }
  // Returns a number from the interval [0, 1).
  double uniform_unit() { return uniform(0, 1); }
  // Returns true with this probability. Draws a number even if the probability is 0.
  bool bernoulli(double probability) { return uniform_unit() < probability; }
  // Returns an index less than `count`, which must not be 0.
  size_t index(size_t count) { return engine_() % count; }
  // Shuffles the list. Draws as many numbers as std::shuffle does for its length.
  template <typename List>
  void shuffle(List& list) {
    std::shuffle(list.begin(), list.end(), engine_);
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace standins
