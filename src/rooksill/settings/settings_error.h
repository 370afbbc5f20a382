// The exception that reports an invalid settings file.
#pragma once

#include <stdexcept>
#include <string>

namespace rooksill {

// what() is the message for the operator: "FIELD: PROBLEM".
class SettingsError : public std::runtime_error {
 public:
  enum class Reason {
    kUnreadable,   // the file cannot be read
    kMalformed,    // not JSON, or not an object
    kMissing,      // a required field is missing
    kWrongType,    // for example a number instead of a string
    kTooSmall,     // not a number, or below the minimum
    kBadAddress,   // not host:port
    kOutOfSchema,  // does not match the schema of the operators' settings
  };

  // `field` is the path of the field, as in "facts.state.rps", or the file's path or name if the
  // error concerns the whole file.
  SettingsError(Reason reason, const std::string& field, const std::string& problem)
      : std::runtime_error(field + ": " + problem), reason_(reason), field_(field) {}

  // Returns the category of the error.
  Reason reason() const { return reason_; }
  // Returns the path of the invalid field, or the name of the file.
  const std::string& field() const { return field_; }

 private:
  Reason reason_;
  std::string field_;
};

}  // namespace rooksill
