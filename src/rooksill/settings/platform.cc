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

// The smallest limits of the store that a job's record and the end of a job fit into.
constexpr double kMinValueKb = 1;
constexpr double kMinTxnOps = 2;

constexpr double kMinSockets = 16;
constexpr double kMinFraction = 0.01;  // of what has to be more than nothing

// ---- Single fields. `prefix` is the path of the object that they are in, with a dot at its end.

const json& member(const json& object, const char* name, const std::string& prefix) {
  const auto it = object.is_object() ? object.find(name) : object.end();
  if (!object.is_object() || it == object.end())
    throw SettingsError(Reason::kMissing, prefix + name, "missing");
  return *it;
}

std::string text(const json& object, const char* name, const std::string& prefix) {
  const json& value = member(object, name, prefix);
  if (!value.is_string() || value.get_ref<const std::string&>().empty())
    throw SettingsError(Reason::kWrongType, prefix + name, "must be a non-empty string");
  return value.get<std::string>();
}

const json& array(const json& object, const char* name, const std::string& prefix) {
  const json& value = member(object, name, prefix);
  if (!value.is_array()) throw SettingsError(Reason::kWrongType, prefix + name, "must be an array");
  return value;
}

double number(const json& object, const char* name, const std::string& prefix, double minimum) {
  const json& value = member(object, name, prefix);
  if (!value.is_number() || !std::isfinite(value.get<double>()) || value.get<double>() < minimum)
    throw SettingsError(Reason::kTooSmall, prefix + name,
                        "must be a number of at least " + std::to_string(minimum));
  return value.get<double>();
}

// 0 if it is not there.
double optional_number(const json& object, const char* name, const std::string& prefix) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return 0;
  return number(object, name, prefix, 0);
}

// host:port, with a port in digits.
std::string address(const json& object, const char* name, const std::string& prefix) {
  std::string value = text(object, name, prefix);
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
  for (const json& peer : array(root, "siblings", ""))
    settings.peers.push_back(
        {text(peer, "label", "siblings."), address(peer, "endpoint", "siblings.")});
}

void parse_zones(const json& facts, PlatformSettings& settings) {
  for (const json& zone : array(facts, "zones", "facts.")) {
    if (!zone.is_string())
      throw SettingsError(Reason::kWrongType, "facts.zones", "must hold strings");
    settings.zones.push_back(zone.get<std::string>());
  }
}

void parse_teams(const json& facts, PlatformSettings& settings) {
  const std::string prefix = "facts.teams.";
  for (const json& team : array(facts, "teams", "facts.")) {
    const std::string name = text(team, "name", prefix);
    TeamQuota quota;
    quota.cpus = optional_number(team, "cpus", prefix);
    quota.cpus_max = optional_number(team, "cpus_max", prefix);
    quota.gpus = optional_number(team, "gpus", prefix);
    quota.gpus_max = optional_number(team, "gpus_max", prefix);
    settings.teams[name] = quota;
  }
}

ObjectiveKind objective_kind(const std::string& name) {
  if (name == "wait") return ObjectiveKind::kWait;
  if (name == "deadline") return ObjectiveKind::kDeadline;
  if (name == "finished") return ObjectiveKind::kFinished;
  return ObjectiveKind::kOther;
}

// Objectives guide decisions only: what this version does not understand is passed over.
void parse_objectives(const json& facts, PlatformSettings& settings) {
  const auto objectives = facts.find("objectives");
  if (objectives == facts.end() || !objectives->is_array()) return;
  for (const json& entry : *objectives) {
    if (!entry.is_object()) continue;
    Objective objective;
    objective.kind = objective_kind(entry.value("kind", ""));
    objective.job_class = entry.value("class", "");
    objective.within_s = entry.value("within_s", 0.0);
    objective.share = entry.value("share", 0.0);
    objective.times = entry.value("times", 1.0);
    settings.objectives.push_back(objective);
  }
}

void parse_workers(const json& workers, PlatformSettings& settings) {
  const std::string prefix = "facts.workers.";
  settings.report_s = number(workers, "report_s", prefix, kMinFraction);
  settings.lease_s = number(workers, "lease_s", prefix, kMinFraction);
  settings.cancel_s = number(workers, "cancel_s", prefix, kMinFraction);
  settings.gang_wait_s = optional_number(workers, "gang_wait_s", prefix);
  settings.gang_peer_s = optional_number(workers, "gang_peer_s", prefix);
}

// The limits of the store, and those that it will have after its upgrade if it lowers them.
void parse_store_limits(const json& state, PlatformSettings& settings) {
  const std::string prefix = "facts.state.";
  settings.state_rps = number(state, "rps", prefix, 1);
  settings.state_write_rps = number(state, "write_rps", prefix, 1);
  double value_kb = number(state, "value_kb", prefix, kMinValueKb);
  double txn_ops = number(state, "txn_ops", prefix, kMinTxnOps);
  settings.state_next_write_rps = settings.state_write_rps;
  settings.state_present_value_bytes = static_cast<size_t>(value_kb * 1024);
  if (auto next = state.find("next"); next != state.end() && next->is_object()) {
    const std::string next_prefix = prefix + "next.";
    if (next->contains("write_rps"))
      settings.state_next_write_rps =
          std::min(settings.state_write_rps, number(*next, "write_rps", next_prefix, 1));
    if (next->contains("value_kb"))
      value_kb = std::min(value_kb, number(*next, "value_kb", next_prefix, kMinValueKb));
    if (next->contains("txn_ops"))
      txn_ops = std::min(txn_ops, number(*next, "txn_ops", next_prefix, kMinTxnOps));
  }
  settings.state_value_bytes = static_cast<size_t>(value_kb * 1024);
  settings.state_txn_ops = static_cast<size_t>(txn_ops);
}

void parse_cloud(const json& cloud, PlatformSettings& settings) {
  settings.cloud_rps = number(cloud, "rps", "facts.cloud.", kMinFraction);
  settings.cloud_list_lag_s = number(cloud, "list_lag_s", "facts.cloud.", 0);
}

void parse_process_limits(const json& resources, PlatformSettings& settings) {
  const std::string prefix = "facts.resources.";
  settings.cores = number(resources, "cores", prefix, kMinFraction);
  settings.memory_mb = number(resources, "mem_mb", prefix, 1);
  settings.max_sockets = static_cast<int>(number(resources, "max_sockets", prefix, kMinSockets));
}

void parse_facts(const json& facts, PlatformSettings& settings) {
  settings.controllers = static_cast<int>(number(facts, "count", "facts.", 1));
  parse_zones(facts, settings);
  parse_teams(facts, settings);
  parse_objectives(facts, settings);
  parse_workers(member(facts, "workers", "facts."), settings);
  parse_store_limits(member(facts, "state", "facts."), settings);
  parse_cloud(member(facts, "cloud", "facts."), settings);
  parse_process_limits(member(facts, "resources", "facts."), settings);
  settings.clock_error_s = number(facts, "clock_error_ms", "facts.", 0) / 1000;
}

}  // namespace

std::vector<std::string> PlatformSettings::labels() const {
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

PlatformSettings parse_platform(const std::string& source) {
  const json root = json::parse(source, nullptr, false);
  if (!root.is_object()) throw SettingsError(Reason::kMalformed, "settings", "not a JSON object");
  PlatformSettings settings;
  settings.label = text(root, "label", "");
  settings.zone = text(root, "site", "");
  settings.api_address = address(root, "api_addr", "");
  settings.back_address = address(root, "back", "");
  parse_peers(root, settings);
  const json& outside = member(root, "outside", "");
  settings.cloud_address = address(outside, "cloud", "outside.");
  settings.state_address = address(outside, "state", "outside.");
  parse_facts(member(root, "facts", ""), settings);
  return settings;
}

}  // namespace rooksill
