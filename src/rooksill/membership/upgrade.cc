#include "rooksill/membership/upgrade.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::membership {

namespace {
constexpr double kRetryReports = 0.1;  // pause after a write that was not applied
}  // namespace

void Upgrade::tick(bool leading) {
  if (!replica_.synced || complete(replica_) || busy_ || ctx_.now.steady < next_try_) return;
  const auto own = replica_.versions.find(ctx_.settings.platform.label);
  const bool recorded = own != replica_.versions.end() &&
                        own->second.version == model::kPresentVersion &&
                        own->second.incarnation == ctx_.incarnation;
  if (!recorded)
    record_version();
  else if (leading)
    write_upgrade();
}

bool Upgrade::runs_older_version(const store::Replica& replica, const std::string& label,
                                 const Peer& peer) {
  if (!complete(replica) || !peer.heartbeat.ready || peer.version >= model::kPresentVersion)
    return false;
  auto record = replica.versions.find(label);
  return record == replica.versions.end() || record->second.incarnation != peer.incarnation;
}

void Upgrade::record_version() {
  const std::string& label = ctx_.settings.platform.label;
  model::VersionRecord record = replica_.versions[label];
  const model::Revision known = record.revision;
  record.version = model::kPresentVersion;
  record.incarnation = ctx_.incarnation;
  const std::string key = wire::version_key(label);
  ctx_.info("upgrade", "records version {} of {}", model::kPresentVersion, label);
  commit({{key, known}}, {key, wire::encode_version(record), 0});
}

// A record that an earlier process of this label left says nothing of one that was started since
// with the old version: a peer that is heard under a later incarnation has to record itself first.
bool Upgrade::has_present_version(const std::string& label) const {
  auto record = replica_.versions.find(label);
  if (record == replica_.versions.end() || record->second.version < model::kPresentVersion)
    return false;
  const Peer* peer = peers_.find(label);
  return peer == nullptr || peer->incarnation <= record->second.incarnation;
}

// Guarded on every record, so that it is written only on what it was decided on.
void Upgrade::write_upgrade() {
  const auto labels = ctx_.settings.platform.labels();
  if (!std::all_of(labels.begin(), labels.end(),
                   [&](const auto& label) { return has_present_version(label); }))
    return;
  std::vector<store::Precondition> preconditions{{wire::kLeaderKey, replica_.leader.revision},
                                                 {wire::kUpgradeKey, model::kNoRevision}};
  for (const auto& label : labels)
    preconditions.push_back({wire::version_key(label), replica_.versions[label].revision});
  ctx_.info("upgrade", "all {} controllers have version {}", labels.size(), model::kPresentVersion);
  commit(preconditions, {wire::kUpgradeKey,
                         wire::encode_upgrade({model::kNoRevision, model::kPresentVersion}), 0});
}

void Upgrade::commit(const std::vector<store::Precondition>& preconditions, store::Write write) {
  next_try_ = ctx_.now.steady + kRetryReports * ctx_.settings.platform.report_s;
  const std::string key = write.key;
  busy_ = committer_.commit(preconditions, {std::move(write)},
                            [this, key](const store::TransactionResult& r) {
                              if (r.outcome == store::TransactionOutcome::kConflict ||
                                  r.outcome == store::TransactionOutcome::kUnknown)
                                return committer_.refresh({key}, [this] { busy_ = false; });
                              busy_ = false;
                            });
}

}  // namespace rooksill::membership
