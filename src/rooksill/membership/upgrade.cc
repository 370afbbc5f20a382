#include "rooksill/membership/upgrade.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::membership {

namespace {
constexpr double kRetryReports = 0.1;  // report periods between two attempts to write
}  // namespace

void Upgrade::tick(bool leading) {
  if (!replica_.synced || complete(replica_)) return;
  if (write_pending_ || context_.now.steady < next_attempt_) return;
  if (!recorded_own_version())
    record_version();
  else if (leading)
    write_upgrade();
}

model::VersionRecord Upgrade::recorded(const std::string& label) const {
  auto record = replica_.versions.find(label);
  return record == replica_.versions.end() ? model::VersionRecord{} : record->second;
}

bool Upgrade::recorded_own_version() const {
  const model::VersionRecord own = recorded(context_.settings.platform.label);
  return own.version == model::kPresentVersion && own.incarnation == context_.incarnation;
}

bool Upgrade::runs_older_version(const store::Replica& replica, const std::string& label,
                                 const Peer& peer) {
  if (!complete(replica) || !peer.heartbeat.is_ready || peer.version >= model::kPresentVersion)
    return false;
  auto record = replica.versions.find(label);
  return record == replica.versions.end() || record->second.incarnation != peer.incarnation;
}

void Upgrade::record_version() {
  const std::string& label = context_.settings.platform.label;
  model::VersionRecord record;
  record.version = model::kPresentVersion;
  record.incarnation = context_.incarnation;
  const std::string key = wire::version_key(label);
  context_.info("upgrade", "records version {} of {}", record.version, label);
  commit({{key, recorded(label).revision}}, {key, wire::encode_version(record), 0});
}

// A record that an earlier process of this controller left says nothing about a process that was
// started since with the old version: a peer that is heard under a later incarnation has to record
// itself first.
bool Upgrade::has_present_version(const std::string& label) const {
  const model::VersionRecord record = recorded(label);
  if (record.version < model::kPresentVersion) return false;
  const Peer* peer = peers_.find(label);
  return peer == nullptr || peer->incarnation <= record.incarnation;
}

// Every record is a precondition, so that the upgrade is written only on what it was decided on.
void Upgrade::write_upgrade() {
  const auto labels = context_.settings.platform.sorted_labels();
  const bool all = std::all_of(labels.begin(), labels.end(),
                               [this](const auto& label) { return has_present_version(label); });
  if (!all) return;
  std::vector<store::Precondition> preconditions{{wire::kLeaderKey, replica_.leader.revision},
                                                 {wire::kUpgradeKey, model::kNoRevision}};
  for (const auto& label : labels)
    preconditions.push_back({wire::version_key(label), recorded(label).revision});
  context_.info("upgrade", "all {} controllers have version {}", labels.size(),
                model::kPresentVersion);
  const model::UpgradeRecord record{model::kNoRevision, model::kPresentVersion};
  commit(preconditions, {wire::kUpgradeKey, wire::encode_upgrade(record), 0});
}

void Upgrade::commit(const std::vector<store::Precondition>& preconditions, store::Write write) {
  next_attempt_ = context_.now.steady + kRetryReports * context_.settings.platform.report_s;
  const std::string key = write.key;
  write_pending_ = committer_.commit(
      preconditions, {std::move(write)}, [this, key](const store::TransactionResult& result) {
        const bool read_back = result.outcome == store::TransactionOutcome::kConflict ||
                               result.outcome == store::TransactionOutcome::kUnknown;
        if (read_back)
          committer_.refresh({key}, [this] { write_pending_ = false; });
        else
          write_pending_ = false;
      });
}

}  // namespace rooksill::membership
