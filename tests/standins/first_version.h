// What the version of rooksill before upgrade records knows: the fields of its values in the state
// service and the lengths of its messages. Written apart from the code under test.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace standins {

// Empty if that version writes such values under such keys itself; otherwise what it does not know.
std::string unknown_to_first_version(const std::string& key, const nlohmann::json& value);
// The same of a message between controllers.
std::string unknown_to_first_version(const std::string& message);
// Whether that version ignores the key: records of versions and of the upgrade.
bool is_ignored_by_first_version(const std::string& key);

}  // namespace standins
