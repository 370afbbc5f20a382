// Scenarios of kind `settings`: the platform settings with single fields changed.
#include "rooksill/settings/settings.h"

#include <nlohmann/json.hpp>

#include "runner/kinds.h"

namespace runner {

namespace {

// Valid settings, which each line changes.
const char* const kValidSettings = R"({
  "label": "c0", "site": "a", "api_addr": "10.0.0.1:8080", "back": "10.0.0.1:8081", "siblings": [],
  "outside": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
  "facts": {
    "count": 1, "zones": ["a"], "teams": [{"name": "team-a", "cpus": 0, "cpus_max": 0}],
    "workers": {"report_s": 3, "lease_s": 22, "gang_wait_s": 50, "gang_peer_s": 5, "cancel_s": 42},
    "state": {"rps": 150, "write_rps": 50, "value_kb": 8, "txn_ops": 40,
              "next": {"write_rps": 35, "value_kb": 2, "txn_ops": 13}},
    "cloud": {"rps": 1.5, "list_lag_s": 12},
    "resources": {"cores": 0.24, "mem_mb": 104, "max_sockets": 2000}, "clock_error_ms": 100}})";

// Converts the path "a.b" to the JSON pointer "/a/b".
nlohmann::json::json_pointer to_json_pointer(const std::string& field) {
  std::string path;
  for (const auto& part : split(field, '.')) path += "/" + part;
  return nlohmann::json::json_pointer(path);
}

// Compares the parsed limits with the expected values in the `is.` parameters.
void check_effective_limits(const Line& line, const rooksill::PlatformSettings& settings) {
  if (line.parameters.count("is.value_bytes") != 0)
    expect_near(line, static_cast<double>(settings.store_max_value_bytes),
                line.get("is.value_bytes", 0), 0);
  if (line.parameters.count("is.txn_ops") != 0)
    expect_near(line, static_cast<double>(settings.store_max_transaction_ops),
                line.get("is.txn_ops", 0), 0);
  if (line.parameters.count("is.next_write_rps") != 0)
    expect_near(line, settings.store_next_writes_per_s, line.get("is.next_write_rps", 0), 0);
}

}  // namespace

// Lines: accept FIELD=VALUE… [is.LIMIT=VALUE…], or refuse TEXT FIELD=VALUE…, where the error has to
// contain TEXT. The value `drop` removes a field.
void run_settings(const std::vector<Line>& lines) {
  for (const auto& line : lines) {
    const std::string verb = line.word(0);
    if (verb == "kind") continue;
    auto settings = nlohmann::json::parse(kValidSettings);
    for (const auto& [field, value] : line.parameters) {
      if (field.rfind("is.", 0) == 0) continue;
      if (value == "drop")
        settings =
            settings.patch({{{"op", "remove"}, {"path", to_json_pointer(field).to_string()}}});
      else
        settings[to_json_pointer(field)] = nlohmann::json::parse(value);
    }
    std::string rejection;
    try {
      check_effective_limits(line, rooksill::parse_platform_settings(settings.dump()));
    } catch (const rooksill::SettingsError& error) {
      rejection = error.what();
    }
    if (verb == "accept" && !rejection.empty()) fail(line, rejection);
    if (verb == "refuse" && rejection.find(line.word(1)) == std::string::npos)
      fail(line, rejection.empty() ? "the settings are accepted" : rejection);
  }
}

}  // namespace runner
