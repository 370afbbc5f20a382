#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "rooksill/settings/settings.h"

namespace rooksill {
namespace {

using nlohmann::json;
using Reason = SettingsError::Reason;

// The smallest store limits with which a job's record fits into a value, and the update that ends a
// job into a transaction.
constexpr double kMinValueKb = 1;
constexpr double kMinTxnOps = 2;

constexpr double kMinSockets = 16;
constexpr double kMinFraction = 0.01;  // lower limit for values that must be greater than zero

// ---- Reading single fields. `prefix` is the path of the enclosing object, with a trailing dot; it
// is used in error messages.

const json& read_member(const json& object, const char* name, const std::string& prefix) {
  const auto it = object.is_object() ? object.find(name) : object.end();
  if (!object.is_object() || it == object.end())
    throw SettingsError(Reason::kMissing, prefix + name, "missing");
  return *it;
}

std::string read_text(const json& object, const char* name, const std::string& prefix) {
  const json& value = read_member(object, name, prefix);
  if (!value.is_string() || value.get_ref<const std::string&>().empty())
    throw SettingsError(Reason::kWrongType, prefix + name, "must be a non-empty string");
  return value.get<std::string>();
}

const json& read_array(const json& object, const char* name, const std::string& prefix) {
  const json& value = read_member(object, name, prefix);
  if (!value.is_array()) throw SettingsError(Reason::kWrongType, prefix + name, "must be an array");
  return value;
}

double read_number(const json& object, const char* name, const std::string& prefix,
                   double minimum) {
  const json& value = read_member(object, name, prefix);
  if (!value.is_number() || !std::isfinite(value.get<double>()) || value.get<double>() < minimum)
    throw SettingsError(Reason::kTooSmall, prefix + name,
                        "must be a number of at least " + std::to_string(minimum));
  return value.get<double>();
}

// Returns 0 if the field is absent or null.
double read_optional_number(const json& object, const char* name, const std::string& prefix) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return 0;
  return read_number(object, name, prefix, 0);
}

// Reads an address of the form host:port with a numeric port.
std::string read_address(const json& object, const char* name, const std::string& prefix) {
  std::string value = read_text(object, name, prefix);
  const auto colon = value.rfind(':');
  const bool valid = colon != std::string::npos && colon > 0 && colon + 1 < value.size() &&
                     std::all_of(value.begin() + static_cast<long>(colon) + 1, value.end(),
                                 [](unsigned char c) { return c >= '0' && c <= '9'; });
  if (!valid) throw SettingsError(Reason::kBadAddress, prefix + name, "must be host:port");
  return value;
}

// ---- Sections.

void parse_peers(const json& root, PlatformSettings& settings) {
  if (!root.contains("siblings")) return;
  for (const json& peer : read_array(root, "siblings", ""))
    settings.peers.push_back(
        {read_text(peer, "label", "siblings."), read_address(peer, "endpoint", "siblings.")});
}

void parse_zones(const json& facts, PlatformSettings& settings) {
  for (const json& zone : read_array(facts, "zones", "facts.")) {
    if (!zone.is_string())
      throw SettingsError(Reason::kWrongType, "facts.zones", "must be an array of strings");
    settings.zones.push_back(zone.get<std::string>());
  }
}

void parse_teams(const json& facts, PlatformSettings& settings) {
  const std::string prefix = "facts.teams.";
  for (const json& team : read_array(facts, "teams", "facts.")) {
    const std::string name = read_text(team, "name", prefix);
    TeamQuota quota;
    quota.guaranteed_cpus = read_optional_number(team, "cpus", prefix);
    quota.max_cpus = read_optional_number(team, "cpus_max", prefix);
    quota.guaranteed_gpus = read_optional_number(team, "gpus", prefix);
    quota.max_gpus = read_optional_number(team, "gpus_max", prefix);
    settings.teams[name] = quota;
  }
}

ObjectiveKind objective_kind(const std::string& name) {
  if (name == "wait") return ObjectiveKind::kWait;
  if (name == "deadline") return ObjectiveKind::kDeadline;
  if (name == "finished") return ObjectiveKind::kFinished;
  return ObjectiveKind::kUnknown;
}

// Objectives only guide decisions, so entries that this version does not understand are ignored
// rather than rejected.
void parse_objectives(const json& facts, PlatformSettings& settings) {
  const auto objectives = facts.find("objectives");
  if (objectives == facts.end() || !objectives->is_array()) return;
  for (const json& entry : *objectives) {
    if (!entry.is_object()) continue;
    Objective objective;
    objective.kind = objective_kind(entry.value("kind", ""));
    objective.job_class = entry.value("class", "");
    objective.within_s = entry.value("within_s", 0.0);
    objective.target_share = entry.value("share", 0.0);
    objective.deadline_factor = entry.value("times", 1.0);
    settings.objectives.push_back(objective);
  }
}

void parse_workers(const json& workers, PlatformSettings& settings) {
  const std::string prefix = "facts.workers.";
  settings.report_s = read_number(workers, "report_s", prefix, kMinFraction);
  settings.lease_s = read_number(workers, "lease_s", prefix, kMinFraction);
  settings.cancel_deadline_s = read_number(workers, "cancel_s", prefix, kMinFraction);
  settings.gang_wait_timeout_s = read_optional_number(workers, "gang_wait_s", prefix);
  settings.gang_stop_deadline_s = read_optional_number(workers, "gang_peer_s", prefix);
}

// Reads the current limits of the store, and the planned ones (`next`) if an upgrade lowers them.
void parse_store_limits(const json& state, PlatformSettings& settings) {
  const std::string prefix = "facts.state.";
  settings.store_requests_per_s = read_number(state, "rps", prefix, 1);
  settings.store_writes_per_s = read_number(state, "write_rps", prefix, 1);
  double value_kb = read_number(state, "value_kb", prefix, kMinValueKb);
  double txn_ops = read_number(state, "txn_ops", prefix, kMinTxnOps);
  settings.store_next_writes_per_s = settings.store_writes_per_s;
  settings.store_current_max_value_bytes = static_cast<size_t>(value_kb * 1024);
  if (auto next = state.find("next"); next != state.end() && next->is_object()) {
    const std::string next_prefix = prefix + "next.";
    if (next->contains("write_rps"))
      settings.store_next_writes_per_s =
          std::min(settings.store_writes_per_s, read_number(*next, "write_rps", next_prefix, 1));
    if (next->contains("value_kb"))
      value_kb = std::min(value_kb, read_number(*next, "value_kb", next_prefix, kMinValueKb));
    if (next->contains("txn_ops"))
      txn_ops = std::min(txn_ops, read_number(*next, "txn_ops", next_prefix, kMinTxnOps));
  }
  settings.store_max_value_bytes = static_cast<size_t>(value_kb * 1024);
  settings.store_max_transaction_ops = static_cast<size_t>(txn_ops);
}

void parse_cloud(const json& cloud, PlatformSettings& settings) {
  settings.cloud_calls_per_s = read_number(cloud, "rps", "facts.cloud.", kMinFraction);
  settings.cloud_list_lag_s = read_number(cloud, "list_lag_s", "facts.cloud.", 0);
}

void parse_process_limits(const json& resources, PlatformSettings& settings) {
  const std::string prefix = "facts.resources.";
  settings.max_cores = read_number(resources, "cores", prefix, kMinFraction);
  settings.max_memory_mb = read_number(resources, "mem_mb", prefix, 1);
  settings.max_sockets =
      static_cast<int>(read_number(resources, "max_sockets", prefix, kMinSockets));
}

void parse_facts(const json& facts, PlatformSettings& settings) {
  settings.controller_count = static_cast<int>(read_number(facts, "count", "facts.", 1));
  parse_zones(facts, settings);
  parse_teams(facts, settings);
  parse_objectives(facts, settings);
  parse_workers(read_member(facts, "workers", "facts."), settings);
  parse_store_limits(read_member(facts, "state", "facts."), settings);
  parse_cloud(read_member(facts, "cloud", "facts."), settings);
  parse_process_limits(read_member(facts, "resources", "facts."), settings);
  settings.max_clock_error_s = read_number(facts, "clock_error_ms", "facts.", 0) / 1000;
}

}  // namespace

std::vector<std::string> PlatformSettings::sorted_labels() const {
  std::vector<std::string> sorted{label};
  for (const PeerAddress& peer : peers) sorted.push_back(peer.label);
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw SettingsError(Reason::kUnreadable, path, "cannot be read");
  std::ostringstream content;
  content << in.rdbuf();
  return content.str();
}

PlatformSettings parse_platform_settings(const std::string& text) {
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object()) throw SettingsError(Reason::kMalformed, "settings", "not a JSON object");
  PlatformSettings settings;
  settings.label = read_text(root, "label", "");
  settings.zone = read_text(root, "site", "");
  settings.api_address = read_address(root, "api_addr", "");
  settings.peer_address = read_address(root, "back", "");
  parse_peers(root, settings);
  const json& outside = read_member(root, "outside", "");
  settings.cloud_address = read_address(outside, "cloud", "outside.");
  settings.store_address = read_address(outside, "state", "outside.");
  parse_facts(read_member(root, "facts", ""), settings);
  return settings;
}

}  // namespace rooksill
