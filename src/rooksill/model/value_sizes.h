// How much of a store value the entries of shards and machine lists take, in bytes.
#pragma once

#include <cstddef>

namespace rooksill::model {

// The longest name of a machine or a team.
inline constexpr size_t kMaxNameBytes = 100;
// What a task in a shard or a machine in a list takes at most, with the longest name.
inline constexpr size_t kMaxItemBytes = 128;
// What they take with names of usual length, and their share of what is written once for several.
// Where a value is to shrink, more is put into it than the longest names would allow; whoever adds
// to it checks its size.
inline constexpr size_t kTypicalTaskBytes = 32;
inline constexpr size_t kTypicalMachineBytes = 48;

}  // namespace rooksill::model
