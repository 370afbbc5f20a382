#include "rooksill/wire/store_protocol_codec.h"

#include <utility>

#include "rooksill/wire/json_fields.h"

namespace rooksill::wire {

using nlohmann::json;

namespace {

constexpr int kOk = 200, kBadRequest = 400, kConflictStatus = 409, kTooManyRequests = 429,
              kUnavailable = 503;

// Parses a body as a JSON object and returns the result of `read` for it.
template <typename Read>
auto decode_body(const std::string& body, Read read) {
  return decode_with(Interface::kStoreProtocol, [&] { return read(parse_object(body)); });
}

uint64_t required_unsigned(const json& object, const char* field) {
  const json& value = member(object, field);
  if (!value.is_number_unsigned()) throw FieldError{field, "not a number", truncated_text(value)};
  return value.get<uint64_t>();
}

model::Revision required_revision(const json& object, const char* field) {
  return model::Revision{required_unsigned(object, field)};
}

json encode_write(Write write) {
  if (write.value.is_null()) return json{{"delete", write.key}};
  json put{{"put", write.key}, {"v", std::move(write.value)}};
  if (write.lease != 0) put["hold"] = write.lease;
  return put;
}

// Malformed entries of a list or watch response are skipped; these functions recognize valid ones.
bool is_item(const json& entry) {
  return entry.is_object() && entry.contains("k") && entry.contains("v");
}
bool is_put(const json& entry) {
  return entry.is_object() && entry.contains("put") && entry["put"].is_string() &&
         entry.contains("v");
}
bool is_delete(const json& entry) {
  return entry.is_object() && entry.contains("delete") && entry["delete"].is_string();
}

model::Revision entry_revision(const json& entry) {
  return field_or<model::Revision>(entry, "stamp", model::kNoRevision);
}

StoreListPage read_list_page(json object) {
  StoreListPage page;
  page.revision = required_revision(object, "epoch");
  page.has_more = field_or<bool>(object, "truncated", false);
  if (!member(object, "items").is_array()) throw FieldError{"items", "not a list", ""};
  for (auto& entry : object["items"])
    if (is_item(entry))
      page.items.push_back(
          {field_or<std::string>(entry, "k", ""), std::move(entry["v"]), entry_revision(entry)});
  return page;
}

WatchResponse read_watch(json object) {
  WatchResponse response;
  response.revision = required_revision(object, "epoch");
  const auto news = object.find("news");
  if (news == object.end() || !news->is_array()) return response;
  for (auto& entry : *news) {
    if (is_put(entry)) {
      StoreItem item{entry["put"].get<std::string>(), std::move(entry["v"]), entry_revision(entry)};
      response.changes.push_back({StoreChange::Kind::kPut, std::move(item)});
    } else if (is_delete(entry)) {
      StoreItem item{entry["delete"].get<std::string>(), nullptr, entry_revision(entry)};
      response.changes.push_back({StoreChange::Kind::kDelete, std::move(item)});
    }
  }
  return response;
}

Decoded<model::Revision> decode_applied(const std::string& body) {
  return decode_body(body, [](const json& object) { return required_revision(object, "epoch"); });
}

Decoded<std::vector<std::string>> decode_conflict(const std::string& body) {
  return decode_body(body, [](const json& object) {
    const json& failed = member(object, "failed");
    if (!failed.is_array()) throw FieldError{"failed", "not a list", truncated_text(failed)};
    std::vector<std::string> keys;
    for (const auto& key : failed)
      if (key.is_string()) keys.push_back(key.get<std::string>());
    return keys;
  });
}

}  // namespace

// ---- transactions ---------------------------------------------------------------------------

std::string encode_transaction(const std::vector<Precondition>& preconditions,
                               std::vector<Write> writes) {
  json guards = json::array();
  for (const auto& precondition : preconditions)
    guards.push_back({{"k", precondition.key}, {"stamp", precondition.revision}});
  json encoded = json::array();
  for (auto& write : writes) encoded.push_back(encode_write(std::move(write)));
  const json body{{"guards", std::move(guards)}, {"writes", std::move(encoded)}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

TransactionResult decode_transaction_response(int status, const std::string& body) {
  TransactionResult result;
  if (status == kTooManyRequests || status == kUnavailable) {
    result.outcome = TransactionOutcome::kRefused;
  } else if (status == kOk) {
    if (const auto revision = decode_applied(body)) {
      result.outcome = TransactionOutcome::kApplied;
      result.revision = *revision;
    }
  } else if (status == kConflictStatus) {
    if (auto failed = decode_conflict(body)) {
      result.outcome = TransactionOutcome::kConflict;
      result.conflicting_keys = std::move(*failed);
    }
  } else if (status == kBadRequest) {
    const bool no_lease = body.find("no such lease") != std::string::npos;
    result.outcome = no_lease ? TransactionOutcome::kLeaseExpired : TransactionOutcome::kTooLarge;
  }
  return result;
}

// ---- reads, lists, watches ------------------------------------------------------------------

std::string read_path(const std::string& key) { return "/store/" + key; }

Decoded<StoreItem> decode_read(const std::string& body) {
  return decode_body(body, [](json object) {
    const model::Revision revision = required_revision(object, "stamp");
    member(object, "v");
    return StoreItem{"", std::move(object["v"]), revision};
  });
}

std::string list_path(const std::string& prefix, const std::string& after) {
  const std::string from = after.empty() ? "" : "&from=" + after;
  return "/store?starts=" + prefix + from + "&most=" + std::to_string(kMaxListPage);
}

Decoded<StoreListPage> decode_list_page(const std::string& body) {
  return decode_body(body, read_list_page);
}

std::string watch_path(const std::string& prefix, model::Revision from, double timeout_s) {
  return "/watch?starts=" + prefix + "&from=" + std::to_string(model::number(from)) +
         "&hold_ms=" + std::to_string(static_cast<int>(timeout_s * 1000));
}

Decoded<WatchResponse> decode_watch(const std::string& body) {
  return decode_body(body, read_watch);
}

// ---- leases ---------------------------------------------------------------------------------

std::string encode_lease_request(int ttl_ms) { return json{{"ttl_ms", ttl_ms}}.dump(); }

Decoded<uint64_t> decode_new_lease(const std::string& body) {
  return decode_body(body, [](const json& object) { return required_unsigned(object, "hold"); });
}

std::string lease_path(uint64_t lease) { return kLeasesPath + "/" + std::to_string(lease); }

std::string lease_renewal_path(uint64_t lease) { return lease_path(lease) + "/touch"; }

}  // namespace rooksill::wire
