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

// The smallest limits of the store that a job's record and the end of a job fit into.
constexpr double kLeastValueKb = 1, kLeastTxnOps = 2;

const json& member(const json& o, const char* name, const std::string& where) {
  auto it = o.is_object() ? o.find(name) : o.end();
  if (!o.is_object() || it == o.end()) throw SettingsError(where + name + ": missing");
  return *it;
}

std::string text(const json& o, const char* name, const std::string& where) {
  const json& v = member(o, name, where);
  if (!v.is_string() || v.get_ref<const std::string&>().empty())
    throw SettingsError(where + name + ": must be a non-empty string");
  return v.get<std::string>();
}

double number(const json& o, const char* name, const std::string& where, double low) {
  const json& v = member(o, name, where);
  if (!v.is_number() || !std::isfinite(v.get<double>()) || v.get<double>() < low)
    throw SettingsError(where + name + ": must be a number of at least " + std::to_string(low));
  return v.get<double>();
}

double optional_number(const json& o, const char* name, const std::string& where) {
  auto it = o.find(name);
  if (it == o.end() || it->is_null()) return 0;
  return number(o, name, where, 0);
}

std::string address(const json& o, const char* name, const std::string& where) {
  std::string a = text(o, name, where);
  auto colon = a.rfind(':');
  bool ok = colon != std::string::npos && colon > 0 && colon + 1 < a.size() &&
            std::all_of(a.begin() + static_cast<long>(colon) + 1, a.end(),
                        [](unsigned char c) { return c >= '0' && c <= '9'; });
  if (!ok) throw SettingsError(where + name + ": must be host:port");
  return a;
}

// The limits of the store, and those that it will have after the upgrade if it lowers them.
void parse_state_limits(const json& state, PlatformSettings& s) {
  const std::string where = "facts.state.";
  s.state_rps = number(state, "rps", where, 1);
  s.state_write_rps = number(state, "write_rps", where, 1);
  double value_kb = number(state, "value_kb", where, kLeastValueKb);
  double txn_ops = number(state, "txn_ops", where, kLeastTxnOps);
  s.state_next_write_rps = s.state_write_rps;
  s.state_present_value_bytes = static_cast<size_t>(value_kb * 1024);
  if (auto next = state.find("next"); next != state.end() && next->is_object()) {
    const std::string inside = where + "next.";
    if (next->contains("write_rps"))
      s.state_next_write_rps = std::min(s.state_write_rps, number(*next, "write_rps", inside, 1));
    if (next->contains("value_kb"))
      value_kb = std::min(value_kb, number(*next, "value_kb", inside, kLeastValueKb));
    if (next->contains("txn_ops"))
      txn_ops = std::min(txn_ops, number(*next, "txn_ops", inside, kLeastTxnOps));
  }
  s.state_value_bytes = static_cast<size_t>(value_kb * 1024);
  s.state_txn_ops = static_cast<size_t>(txn_ops);
}

}  // namespace

std::vector<std::string> PlatformSettings::labels() const {
  std::vector<std::string> out{label};
  for (const auto& p : peers) out.push_back(p.label);
  std::sort(out.begin(), out.end());
  return out;
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw SettingsError(path + ": cannot be read");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

PlatformSettings parse_platform(const std::string& source) {
  json j = json::parse(source, nullptr, false);
  if (!j.is_object()) throw SettingsError("settings: not a JSON object");
  PlatformSettings s;
  s.label = text(j, "label", "");
  s.zone = text(j, "site", "");
  s.api_address = address(j, "api_addr", "");
  s.back_address = address(j, "back", "");
  if (j.contains("siblings")) {
    if (!j["siblings"].is_array()) throw SettingsError("siblings: must be an array");
    for (const auto& p : j["siblings"])
      s.peers.push_back({text(p, "label", "siblings."), address(p, "endpoint", "siblings.")});
  }
  const json& outside = member(j, "outside", "");
  s.cloud_address = address(outside, "cloud", "outside.");
  s.state_address = address(outside, "state", "outside.");
  const json& f = member(j, "facts", "");
  s.controllers = static_cast<int>(number(f, "count", "facts.", 1));
  const json& zones = member(f, "zones", "facts.");
  if (!zones.is_array()) throw SettingsError("facts.zones: must be an array");
  for (const auto& z : zones) {
    if (!z.is_string()) throw SettingsError("facts.zones: must hold strings");
    s.zones.push_back(z.get<std::string>());
  }
  const json& teams = member(f, "teams", "facts.");
  if (!teams.is_array()) throw SettingsError("facts.teams: must be an array");
  for (const auto& t : teams) {
    TeamQuota l;
    std::string name = text(t, "name", "facts.teams.");
    l.cpus = optional_number(t, "cpus", "facts.teams.");
    l.cpus_max = optional_number(t, "cpus_max", "facts.teams.");
    l.gpus = optional_number(t, "gpus", "facts.teams.");
    l.gpus_max = optional_number(t, "gpus_max", "facts.teams.");
    s.teams[name] = l;
  }
  if (f.contains("objectives") && f["objectives"].is_array()) {
    for (const auto& o : f["objectives"]) {
      if (!o.is_object()) continue;
      Objective x;
      x.kind = o.value("kind", "");
      x.job_class = o.value("class", "");
      x.within_s = o.value("within_s", 0.0);
      x.share = o.value("share", 0.0);
      x.times = o.value("times", 1.0);
      s.objectives.push_back(x);
    }
  }
  const json& w = member(f, "workers", "facts.");
  s.report_s = number(w, "report_s", "facts.workers.", 0.01);
  s.lease_s = number(w, "lease_s", "facts.workers.", 0.01);
  s.cancel_s = number(w, "cancel_s", "facts.workers.", 0.01);
  s.gang_wait_s = optional_number(w, "gang_wait_s", "facts.workers.");
  s.gang_peer_s = optional_number(w, "gang_peer_s", "facts.workers.");
  parse_state_limits(member(f, "state", "facts."), s);
  const json& c = member(f, "cloud", "facts.");
  s.cloud_rps = number(c, "rps", "facts.cloud.", 0.01);
  s.cloud_list_lag_s = number(c, "list_lag_s", "facts.cloud.", 0);
  const json& r = member(f, "resources", "facts.");
  s.cores = number(r, "cores", "facts.resources.", 0.01);
  s.memory_mb = number(r, "mem_mb", "facts.resources.", 1);
  s.max_sockets = static_cast<int>(number(r, "max_sockets", "facts.resources.", 16));
  s.clock_error_s = number(f, "clock_error_ms", "facts.", 0) / 1000;
  return s;
}

}  // namespace rooksill
