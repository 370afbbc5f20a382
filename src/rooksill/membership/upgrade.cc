#include "rooksill/core/upgrade.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "rooksill/core/codec.h"

namespace rooksill::core {

using state::Outcome;

namespace {
constexpr double kRetryReports = 0.1;  // pause after a write that was not applied
}  // namespace

void Upgrade::tick(bool leading) {
  if (!replica_.synced || complete(replica_) || busy_ || ctx_.now.steady < next_try_) return;
  const auto own = replica_.versions.find(ctx_.settings.platform.label);
  const bool recorded = own != replica_.versions.end() && own->second.version == kPresentVersion &&
                        own->second.incarnation == ctx_.incarnation;
  if (!recorded)
    record_version();
  else if (leading)
    write_upgrade();
}

bool Upgrade::runs_older_version(const Replica& replica, const std::string& label,
                                 const Peer& peer) {
  if (!complete(replica) || !peer.beat.ready || peer.version >= kPresentVersion) return false;
  auto record = replica.versions.find(label);
  return record == replica.versions.end() || record->second.incarnation != peer.incarnation;
}

void Upgrade::record_version() {
  const std::string& label = ctx_.settings.platform.label;
  VersionRecord record = replica_.versions[label];
  const uint64_t known = record.stamp;
  record.version = kPresentVersion;
  record.incarnation = ctx_.incarnation;
  const std::string key = version_key(label);
  ctx_.info("upgrade", "records version {} of {}", kPresentVersion, label);
  commit({{key, known}}, {key, encode_version(record), 0});
}

// A record that an earlier process of this label left says nothing of one that was started since
// with the old version: a peer that is heard under a later incarnation has to record itself first.
bool Upgrade::has_present_version(const std::string& label) const {
  auto record = replica_.versions.find(label);
  if (record == replica_.versions.end() || record->second.version < kPresentVersion) return false;
  const Peer* peer = peers_.find(label);
  return peer == nullptr || peer->incarnation <= record->second.incarnation;
}

// Guarded on every record, so that it is written only on what it was decided on.
void Upgrade::write_upgrade() {
  const auto labels = ctx_.settings.platform.labels();
  if (!std::all_of(labels.begin(), labels.end(),
                   [&](const auto& label) { return has_present_version(label); }))
    return;
  std::vector<state::Guard> guards{{kLeaderKey, replica_.leader.stamp}, {kUpgradeKey, 0}};
  for (const auto& label : labels)
    guards.push_back({version_key(label), replica_.versions[label].stamp});
  ctx_.info("upgrade", "all {} controllers have version {}", labels.size(), kPresentVersion);
  commit(guards, {kUpgradeKey, encode_upgrade({0, kPresentVersion}), 0});
}

void Upgrade::commit(const std::vector<state::Guard>& guards, state::Write write) {
  next_try_ = ctx_.now.steady + kRetryReports * ctx_.settings.platform.report_s;
  const std::string key = write.key;
  busy_ = committer_.commit(guards, {std::move(write)}, [this, key](const state::TxnResult& r) {
    if (r.outcome == Outcome::kConflict || r.outcome == Outcome::kUnknown)
      return committer_.refresh({key}, [this] { busy_ = false; });
    busy_ = false;
  });
}

}  // namespace rooksill::core
