// The formats that the first version of rooksill, which predates upgrade records, can read: the
// fields of its values in the key-value store and the lengths of its messages. Defined
// independently of the code under test.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace standins {

// Returns an empty string if the first version itself writes such a value under such a key,
// otherwise a description of what it cannot read.
std::string unknown_to_first_version(const std::string& key, const nlohmann::json& value);
// Returns the same for a message between controllers.
std::string unknown_to_first_version(const std::string& message);
// Returns whether the first version ignores the key, which is that of a version record or of the
// upgrade record.
bool is_ignored_by_first_version(const std::string& key);

}  // namespace standins
