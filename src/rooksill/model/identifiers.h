// Distinct integer types for revisions and fencing tokens, so that they cannot be mixed up.
#pragma once

#include <cstdint>

namespace rooksill::model {

// A revision of the key-value store. The store increments it with each change; the revision of a
// key is that of its last change.
enum class Revision : uint64_t {};

// The revision of a key that does not exist or of a record that has never been read.
inline constexpr Revision kNoRevision{0};

// Returns the revision that follows this one.
constexpr Revision next(Revision revision) {
  return static_cast<Revision>(static_cast<uint64_t>(revision) + 1);
}

// Authorizes commands to a worker: a worker rejects commands with a token lower than the highest
// one that it has received.
enum class FencingToken : uint64_t {};

// The value before any token has been received or sent.
inline constexpr FencingToken kNoFencingToken{0};

// Returns the token that follows this one.
constexpr FencingToken next(FencingToken token) {
  return static_cast<FencingToken>(static_cast<uint64_t>(token) + 1);
}

// Returns the token that precedes this one.
constexpr FencingToken previous(FencingToken token) {
  return static_cast<FencingToken>(static_cast<uint64_t>(token) - 1);
}

// Return the plain number, for wire formats and log lines.
constexpr uint64_t number(Revision revision) { return static_cast<uint64_t>(revision); }
constexpr uint64_t number(FencingToken token) { return static_cast<uint64_t>(token); }

}  // namespace rooksill::model
