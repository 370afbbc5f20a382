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

namespace {

constexpr const char* kWholeFile = "operator settings";

SettingsError schema_error(valijson::ValidationResults& results) {
  std::string field = kWholeFile;
  std::string problem = "does not match the schema";
  valijson::ValidationResults::Error error;
  // The last error refers to the innermost field.
  while (results.popError(error)) {
    field.clear();
    for (const std::string& part : error.context) field += part;
    problem = error.description;
  }
  return {SettingsError::Reason::kOutOfSchema, field, problem};
}

void check_schema(const json& settings) {
  const json schema_json = json::parse(kOperatorSchema);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (!validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(settings), &results))
    throw schema_error(results);
}

// Replaces the default value of a setting if the file has the field.
template <typename Setting>
void read_optional(const json& section, const char* name, Setting& setting) {
  setting = section.value(name, setting);
}

}  // namespace

OperatorSettings parse_operator_settings(const std::string& text) {
  const json root = json::parse(text, nullptr, false);
  if (root.is_discarded())
    throw SettingsError(SettingsError::Reason::kMalformed, kWholeFile, "not valid JSON");
  check_schema(root);
  OperatorSettings settings;
  const json policy = root.value("policy", json::object());
  read_optional(policy, "period_reports", settings.period_reports);
  read_optional(policy, "periods", settings.horizon_periods);
  read_optional(policy, "planned_cost", settings.planned_cost);
  read_optional(policy, "unplanned_cost", settings.unplanned_cost);
  read_optional(policy, "holding_cost", settings.holding_cost);
  read_optional(policy, "ceiling", settings.max_pool_machines);
  read_optional(policy, "demand_cap", settings.demand_cap);
  const json takeover = root.value("takeover", json::object());
  read_optional(takeover, "leader_ttl_reports", settings.leader_ttl_reports);
  read_optional(takeover, "peer_silence_reports", settings.peer_timeout_reports);
  read_optional(takeover, "machine_silence_reports", settings.machine_timeout_reports);
  return settings;
}

}  // namespace rooksill
