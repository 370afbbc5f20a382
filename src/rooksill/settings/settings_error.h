// Why a settings file was refused.
#pragma once

#include <stdexcept>
#include <string>

namespace rooksill {

// what() is the line for the user: the field, and what it has to be.
class SettingsError : public std::runtime_error {
 public:
  enum class Reason {
    kUnreadable,   // the file cannot be read
    kMalformed,    // not JSON, or not an object
    kMissing,      // a field that has to be there
    kWrongType,    // for example a number in place of a string
    kTooSmall,     // not a number, or below the least that is allowed
    kBadAddress,   // not host:port
    kOutOfSchema,  // against the operators' schema
  };

  // `field`: its path, as in "facts.state.rps"; a file's path or name if it concerns all of it.
  SettingsError(Reason reason, const std::string& field, const std::string& problem)
      : std::runtime_error(field + ": " + problem), reason_(reason), field_(field) {}

  Reason reason() const { return reason_; }
  const std::string& field() const { return field_; }

 private:
  Reason reason_;
  std::string field_;
};

}  // namespace rooksill
