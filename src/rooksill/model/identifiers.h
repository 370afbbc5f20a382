// Numbers that would be confused if they were all plain integers.
#pragma once

#include <cstdint>

namespace rooksill::model {

// A revision of the key-value store: it counts the store's changes, and a key's revision is that of
// its last change.
enum class Revision : uint64_t {};

// Of a key that does not exist, or of a record that was never read.
inline constexpr Revision kNoRevision{0};

constexpr Revision next(Revision revision) {
  return static_cast<Revision>(static_cast<uint64_t>(revision) + 1);
}

// Says who is entitled to give commands to a worker: a worker takes none under a lower token than
// the highest one it has seen.
enum class FencingToken : uint64_t {};

// Before any token was seen or sent.
inline constexpr FencingToken kNoFencingToken{0};

constexpr FencingToken next(FencingToken token) {
  return static_cast<FencingToken>(static_cast<uint64_t>(token) + 1);
}

constexpr FencingToken previous(FencingToken token) {
  return static_cast<FencingToken>(static_cast<uint64_t>(token) - 1);
}

// The number that goes over the wire or into a log line.
constexpr uint64_t number(Revision revision) { return static_cast<uint64_t>(revision); }
constexpr uint64_t number(FencingToken token) { return static_cast<uint64_t>(token); }

}  // namespace rooksill::model
