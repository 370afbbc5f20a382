// A hash of all effects of a simulated deployment's controllers.
#pragma once

#include <cstdint>
#include <string_view>

#include "rooksill/runtime/effects.h"

namespace standins {

// Hashes effects in their order, except for log lines. Two builds with the same behavior have the
// same value for the same scenario and seed, which verifies that a refactoring changes no behavior.
class EffectsDigest {
 public:
  // Adds the effects of one batch of a controller. Batches without effects do not change the value.
  void add(double now, std::string_view controller, const rooksill::runtime::Effects& effects);
  // Returns the digest of all effects added so far.
  uint64_t value() const { return hash_; }

 private:
  void add_text(std::string_view text);
  void add_number(double number);

  static constexpr uint64_t kFnvOffset = 14695981039346656037ULL;
  static constexpr uint64_t kFnvPrime = 1099511628211ULL;
  uint64_t hash_ = kFnvOffset;
};

}  // namespace standins
