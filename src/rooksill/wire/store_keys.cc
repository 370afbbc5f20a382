#include "rooksill/wire/store_keys.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace rooksill::wire {

namespace {

DecodeError key_error(const std::string& key, std::string reason) {
  return {Interface::kStoreRecord, "key", std::move(reason), key};
}

// Parses a text that consists of a non-negative number only.
template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end || number < Number{0}) return std::nullopt;
  return number;
}

// Parses the non-negative number at the start of a text; what follows it is ignored.
std::optional<int> parse_leading_number(std::string_view text) {
  int number = -1;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || number < 0) return std::nullopt;
  return number;
}

// Parses "JOB/SHARD". `rest` is the part of the key after the prefix of its kind.
Decoded<StoreKey> parse_shard_key(const std::string& key, const std::string& rest) {
  const auto slash = rest.rfind('/');
  if (slash == std::string::npos) return key_error(key, "missing shard number");
  const auto shard = parse_number<uint32_t>(std::string_view(rest).substr(slash + 1));
  if (!shard) return key_error(key, "invalid shard number");
  StoreKey parsed{KeyKind::kShard, rest.substr(0, slash)};
  parsed.shard = *shard;
  return parsed;
}

Decoded<StoreKey> parse_lease_key(const std::string& key, const std::string& rest) {
  const auto partition = parse_leading_number(rest);
  if (!partition) return key_error(key, "invalid partition number");
  StoreKey parsed{KeyKind::kLease};
  parsed.partition = *partition;
  return parsed;
}

// Parses "PARTITION/PAGE".
Decoded<StoreKey> parse_machines_key(const std::string& key, const std::string& rest) {
  const auto slash = rest.find('/');
  if (slash == std::string::npos) return key_error(key, "missing page number");
  const auto partition = parse_number<int>(std::string_view(rest).substr(0, slash));
  const auto page = parse_number<int>(std::string_view(rest).substr(slash + 1));
  if (!partition || !page) return key_error(key, "invalid partition or page number");
  StoreKey parsed{KeyKind::kMachines};
  parsed.partition = *partition;
  parsed.page = *page;
  return parsed;
}

}  // namespace

std::string job_key(const std::string& id) { return kKeyPrefix + "j/" + id; }
std::string shard_key(const std::string& id, uint32_t shard) {
  return kKeyPrefix + "t/" + id + "/" + std::to_string(shard);
}
std::string lease_key(int partition) { return kKeyPrefix + "l/" + std::to_string(partition); }
std::string machines_key(int partition, int page) {
  return kKeyPrefix + "m/" + std::to_string(partition) + "/" + std::to_string(page);
}
std::string liveness_key(const std::string& label) { return kKeyPrefix + "n/" + label; }
std::string version_key(const std::string& label) { return kKeyPrefix + "v/" + label; }
std::string quota_key(const std::string& team) { return kKeyPrefix + "q/" + team; }
std::string type_key(const std::string& name) { return kKeyPrefix + "c/" + name; }

Decoded<StoreKey> parse_store_key(const std::string& key) {
  if (key == kLeaderKey) return StoreKey{KeyKind::kLeader};
  if (key == kTermKey) return StoreKey{KeyKind::kTerm};
  if (key == kUpgradeKey) return StoreKey{KeyKind::kUpgrade};
  const size_t name_offset = kKeyPrefix.size() + 2;
  if (key.compare(0, kKeyPrefix.size(), kKeyPrefix) != 0 || key.size() <= name_offset ||
      key[name_offset - 1] != '/')
    return key_error(key, "not a key of this service");
  const std::string name = key.substr(name_offset);
  switch (key[kKeyPrefix.size()]) {
    case 'j':
      return StoreKey{KeyKind::kJob, name};
    case 't':
      return parse_shard_key(key, name);
    case 'l':
      return parse_lease_key(key, name);
    case 'm':
      return parse_machines_key(key, name);
    case 'n':
      return StoreKey{KeyKind::kLiveness, name};
    case 'v':
      return StoreKey{KeyKind::kVersion, name};
    case 'q':
      return StoreKey{KeyKind::kQuota, name};
    case 'c':
      return StoreKey{KeyKind::kMachineType, name};
    default:
      return key_error(key, "unknown record kind");
  }
}

}  // namespace rooksill::wire
