#include "rooksill/wire/json_fields.h"

namespace rooksill::wire {

using nlohmann::json;

namespace {
constexpr size_t kMaxShownBytes = 60;  // of a value quoted in an error
}

std::string truncated_text(const json& value) {
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) text = text.substr(0, kMaxShownBytes) + "...";
  return text;
}

json parse_object(const std::string& body) {
  json object = json::parse(body, nullptr, false);
  if (!object.is_object()) throw FieldError{"", "not a JSON object", ""};
  return object;
}

const json& member(const json& object, const char* field) {
  if (!object.is_object()) throw FieldError{field, "not in a JSON object", truncated_text(object)};
  const auto it = object.find(field);
  if (it == object.end()) throw FieldError{field, "missing", ""};
  return *it;
}

}  // namespace rooksill::wire
