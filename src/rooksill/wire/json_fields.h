// Helpers with which the codecs of this package read fields from JSON. Inside a decoder errors are
// thrown as FieldError, so that reading a field takes one line; decode_with() converts them to the
// DecodeError that the decoder returns. This header is private to the package.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <utility>

#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

// Thrown when a field is missing or invalid.
struct FieldError {
  std::string field;   // empty: the error concerns the whole message
  std::string reason;  // as in DecodeError
  std::string value;   // as in DecodeError
};

// Returns a value as JSON text, truncated to fit a log line.
std::string truncated_text(const nlohmann::json& value);

// Parses a body as a JSON object. Throws FieldError if it is anything else.
nlohmann::json parse_object(const std::string& body);

// Returns a field of an object, whatever its type. Throws FieldError if it is missing.
const nlohmann::json& member(const nlohmann::json& object, const char* field);

// Converts a value to T. Throws FieldError that names `field` if the type does not match.
template <typename T>
T convert(const nlohmann::json& value, const char* field) try {
  return value.get<T>();
} catch (const nlohmann::json::exception&) {
  throw FieldError{field, "wrong type", truncated_text(value)};
}

// Returns a required field as T. Throws FieldError if it is missing or of another type.
template <typename T>
T required(const nlohmann::json& object, const char* field) {
  return convert<T>(member(object, field), field);
}

// Returns an optional field as T, or `fallback` if it is absent. A null field is an error.
template <typename T>
T field_or(const nlohmann::json& object, const char* field, T fallback) {
  if (!object.is_object()) throw FieldError{field, "not in a JSON object", truncated_text(object)};
  const auto it = object.find(field);
  return it == object.end() ? fallback : convert<T>(*it, field);
}

// Calls `decode` and returns its result, or the exception that it threw as a DecodeError.
template <typename Decode>
Decoded<std::invoke_result_t<Decode>> decode_with(Interface interface, Decode decode) try {
  return decode();
} catch (const FieldError& error) {
  return DecodeError{interface, error.field, error.reason, error.value};
} catch (const nlohmann::json::exception&) {
  return DecodeError{interface, "", "malformed", ""};
}

}  // namespace rooksill::wire
