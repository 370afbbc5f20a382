// Estimated sizes, in bytes, of the entries of task shards and machine lists in a store value.
#pragma once

#include <cstddef>

namespace rooksill::model {

// Longest allowed name of a machine or a team.
inline constexpr size_t kMaxNameBytes = 100;
// Upper limit for a task in a shard or a machine in a list, with the longest name.
inline constexpr size_t kMaxItemBytes = 128;
// Sizes with names of typical length, including the entry's part of the data that several entries
// share. If the store's limit on values is going to be lowered, values hold more entries than the
// longest names would allow under the lower limit; code that adds an entry checks the value's size.
inline constexpr size_t kTypicalTaskBytes = 32;
inline constexpr size_t kTypicalMachineBytes = 48;

}  // namespace rooksill::model
