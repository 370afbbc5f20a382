#include "standins/first_version.h"

#include <map>
#include <msgpack.hpp>
#include <set>

namespace standins {

using nlohmann::json;

namespace {

const std::map<std::string, std::set<std::string>>& fields_by_kind() {
  static const std::map<std::string, std::set<std::string>> kFields{
      {"rk/lead", {"h", "i", "t"}},
      {"rk/term", {"t"}},
      {"rk/l/", {"h", "i", "t"}},
      {"rk/c/", {"b", "c", "f", "g", "k", "m", "n", "p", "s", "z"}},
      {"rk/m/", {"g"}},
      {"rk/t/", {"a", "m", "p"}},
      {"rk/q/", {"c", "g"}},
      {"rk/n/", {"d", "f", "i", "q", "u"}},
      {"rk/j/", {"e", "k", "s", "t"}},
  };
  return kFields;
}

const std::set<std::string> kSpecFields{"c", "ck", "cl", "d",  "e",  "g",  "id", "ig", "im", "m",
                                        "n", "oz", "pr", "sh", "sp", "st", "sv", "tm", "ty", "z"};
const std::set<std::string> kDoneJobFields{"e", "n"};

std::set<std::string> field_names(const json& object) {
  std::set<std::string> out;
  for (const auto& [name, value] : object.items()) out.insert(name);
  return out;
}

// The number of fields of the envelope, of each kind of message, and of each entry of a message
// with views of machines.
constexpr size_t kEnvelopeFields = 6, kViewFields = 13;
constexpr int kViewsKind = 5;
const std::map<int, size_t> kMessageFields{{1, 11}, {2, 1}, {3, 6}, {4, 5}, {5, 1}, {6, 2}};

}  // namespace

bool is_ignored_by_first_version(const std::string& key) {
  return key.rfind("rk/v/", 0) == 0 || key == "rk/upgrade";
}

std::string unknown_to_first_version(const std::string& key, const json& value) {
  if (!value.is_object()) return "a value that is no object: " + key;
  const auto names = field_names(value);
  for (const auto& [kind, fields] : fields_by_kind()) {
    if (key.rfind(kind, 0) != 0) continue;
    if (kind == "rk/j/" && names == kDoneJobFields) return "";
    if (names != fields) return "fields of " + key + ": " + value.dump();
    if (kind == "rk/j/" && field_names(value["s"]) != kSpecFields) return "specification of " + key;
    return "";
  }
  return "key " + key;
}

std::string unknown_to_first_version(const std::string& message) {
  const auto envelope = msgpack::unpack(message.data(), message.size());
  const auto& outer = envelope.get();
  if (outer.type != msgpack::type::ARRAY || outer.via.array.size != kEnvelopeFields)
    return "envelope";
  const auto* parts = outer.via.array.ptr;
  if (parts[0].as<int>() != 1) return "envelope of version " + std::to_string(parts[0].as<int>());
  const int kind = parts[1].as<int>();
  auto length = kMessageFields.find(kind);
  if (length == kMessageFields.end()) return "message of kind " + std::to_string(kind);
  const auto bytes = parts[5].as<std::string>();
  const auto inner = msgpack::unpack(bytes.data(), bytes.size());
  const auto& payload = inner.get();
  if (payload.type != msgpack::type::ARRAY || payload.via.array.size != length->second)
    return "length of a message of kind " + std::to_string(kind);
  if (kind != kViewsKind) return "";
  const auto& statuses = payload.via.array.ptr[0].via.array;
  for (uint32_t i = 0; i < statuses.size; ++i)
    if (statuses.ptr[i].via.array.size != kViewFields) return "length of a machine's view";
  return "";
}

}  // namespace standins
