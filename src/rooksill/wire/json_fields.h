// How the codecs of this package take fields out of JSON. Inside a decoder a fault is thrown as a
// FieldError, so that each field takes one line; decode_with() turns it into the DecodeError that
// the decoder returns. Nothing outside this package uses this header.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <utility>

#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

struct FieldError {
  std::string field;   // empty: the message as a whole
  std::string reason;  // as in DecodeError
  std::string value;   // as in DecodeError
};

// A value's text, shortened so that it fits a log line.
std::string truncated_text(const nlohmann::json& value);

// The object that a body holds.
nlohmann::json parse_object(const std::string& body);

// An object's field, of whatever type.
const nlohmann::json& member(const nlohmann::json& object, const char* field);

// A value as a T, for the field that it stands in.
template <typename T>
T convert(const nlohmann::json& value, const char* field) try {
  return value.get<T>();
} catch (const nlohmann::json::exception&) {
  throw FieldError{field, "wrong type", truncated_text(value)};
}

// A field that has to be there.
template <typename T>
T required(const nlohmann::json& object, const char* field) {
  return convert<T>(member(object, field), field);
}

// A field that may be left out, but is not null.
template <typename T>
T field_or(const nlohmann::json& object, const char* field, T fallback) {
  if (!object.is_object()) throw FieldError{field, "not in a JSON object", truncated_text(object)};
  const auto it = object.find(field);
  return it == object.end() ? fallback : convert<T>(*it, field);
}

// What `decode` returns, or the fault that it threw.
template <typename Decode>
Decoded<std::invoke_result_t<Decode>> decode_with(Interface interface, Decode decode) try {
  return decode();
} catch (const FieldError& error) {
  return DecodeError{interface, error.field, error.reason, error.value};
} catch (const nlohmann::json::exception&) {
  return DecodeError{interface, "", "malformed", ""};
}

}  // namespace rooksill::wire
