#include "standins/first_version_store.h"

#include <nlohmann/json.hpp>
#include <string>

#include "standins/first_version.h"

namespace standins {

using nlohmann::json;

namespace {

bool writes_unknown_record(const HttpRequest& request) {
  if (request.target != "/txn") return false;
  const json transaction = json::parse(request.body);
  for (const auto& write : transaction["writes"])
    if (write.contains("put") && is_ignored_by_first_version(write["put"].get<std::string>()))
      return true;
  return false;
}

bool reads_unknown_record(const HttpRequest& request) {
  return request.target.rfind("/store/rk/v/", 0) == 0 || request.target == "/store/rk/upgrade";
}

HttpResponse without_unknown_records(const HttpResponse& response) {
  json body = json::parse(response.body, nullptr, false);
  for (const char* list : {"items", "news"}) {
    if (!body.is_object() || !body.contains(list)) continue;
    json kept = json::array();
    for (const auto& entry : body[list]) {
      const std::string key = entry.value("k", entry.value("put", ""));
      if (!is_ignored_by_first_version(key)) kept.push_back(entry);
    }
    body[list] = std::move(kept);
  }
  return {response.status, body.dump()};
}

}  // namespace

void FirstVersionStore::handle(double now, const HttpRequest& request,
                               const KeyValueStore::ResponseHandler& on_response) {
  if (writes_unknown_record(request))
    return on_response({409, json{{"failed", json::array()}, {"epoch", 1}}.dump()});
  if (reads_unknown_record(request)) return on_response({404, "{}"});
  store_.handle(now, request, [on_response](const HttpResponse& response) {
    on_response(without_unknown_records(response));
  });
}

}  // namespace standins
