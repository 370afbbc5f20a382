#include <nlohmann/json.hpp>
#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "rooksill/settings/schema.h"
#include "rooksill/settings/settings.h"

namespace rooksill {

using nlohmann::json;

OperatorSettings parse_operators(const std::string& source) {
  json j = json::parse(source, nullptr, false);
  if (j.is_discarded()) throw SettingsError("operators' settings: not JSON");
  json schema_json = json::parse(kOperatorSchema);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (!validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(j), &results)) {
    valijson::ValidationResults::Error error;
    std::string at = "operators' settings", what = "out of the schema";
    // The last error names the innermost field.
    while (results.popError(error)) {
      std::string path;
      for (const auto& part : error.context) path += part;
      at = path;
      what = error.description;
    }
    throw SettingsError(at + ": " + what);
  }
  OperatorSettings s;
  json p = j.value("policy", json::object());
  s.period_reports = p.value("period_reports", s.period_reports);
  s.periods = p.value("periods", s.periods);
  s.planned_cost = p.value("planned_cost", s.planned_cost);
  s.unplanned_cost = p.value("unplanned_cost", s.unplanned_cost);
  s.holding_cost = p.value("holding_cost", s.holding_cost);
  s.ceiling = p.value("ceiling", s.ceiling);
  s.demand_cap = p.value("demand_cap", s.demand_cap);
  json t = j.value("takeover", json::object());
  s.leader_ttl_reports = t.value("leader_ttl_reports", s.leader_ttl_reports);
  s.peer_silence_reports = t.value("peer_silence_reports", s.peer_silence_reports);
  s.machine_silence_reports = t.value("machine_silence_reports", s.machine_silence_reports);
  return s;
}

}  // namespace rooksill
