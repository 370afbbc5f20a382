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
    if (write.contains("put") && ignored_by_first_version(write["put"].get<std::string>()))
      return true;
  return false;
}

bool reads_unknown_record(const HttpRequest& request) {
  return request.target.rfind("/store/rk/v/", 0) == 0 || request.target == "/store/rk/upgrade";
}

HttpAnswer without_unknown_records(const HttpAnswer& answer) {
  json body = json::parse(answer.body, nullptr, false);
  for (const char* list : {"items", "news"}) {
    if (!body.is_object() || !body.contains(list)) continue;
    json kept = json::array();
    for (const auto& entry : body[list]) {
      const std::string key = entry.value("k", entry.value("put", ""));
      if (!ignored_by_first_version(key)) kept.push_back(entry);
    }
    body[list] = std::move(kept);
  }
  return {answer.status, body.dump()};
}

}  // namespace

void FirstVersionStore::handle(double now, const HttpRequest& request,
                               const KeyValueStore::AnswerHandler& on_answer) {
  if (writes_unknown_record(request))
    return on_answer({409, json{{"failed", json::array()}, {"epoch", 1}}.dump()});
  if (reads_unknown_record(request)) return on_answer({404, "{}"});
  store_.handle(now, request, [on_answer](const HttpAnswer& answer) {
    on_answer(without_unknown_records(answer));
  });
}

}  // namespace standins
