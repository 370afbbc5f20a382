// A number that stands for everything a simulated deployment's controllers did.
#pragma once

#include <cstdint>
#include <string_view>

#include "rooksill/runtime/effects.h"

namespace standins {

// Sums up effects in the order in which they came out, log lines aside. Two builds that behave
// alike come to the same value for the same scenario and seed, so that a change of structure alone
// can be shown to be one.
class EffectsDigest {
 public:
  void add(double now, std::string_view controller, const rooksill::runtime::Effects& effects);
  uint64_t value() const { return hash_; }

 private:
  void add_text(std::string_view text);
  void add_number(double number);

  static constexpr uint64_t kFnvOffset = 14695981039346656037ULL;
  static constexpr uint64_t kFnvPrime = 1099511628211ULL;
  uint64_t hash_ = kFnvOffset;
};

}  // namespace standins
