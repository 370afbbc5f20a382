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
// In worker heartbeat intervals (PlatformSettings::report_s).
constexpr double kRetryIntervalHeartbeats = 0.1;  // between two attempts to write
}  // namespace

void Upgrade::tick(bool is_leader) {
  if (!replica_.synced || is_complete(replica_)) return;
  if (is_write_pending_ || context_.now.steady < next_attempt_at_) return;
  if (!has_recorded_own_version())
    record_version();
  else if (is_leader)
    write_upgrade_record();
}

model::VersionRecord Upgrade::recorded_version(const std::string& label) const {
  auto record = replica_.versions.find(label);
  return record == replica_.versions.end() ? model::VersionRecord{} : record->second;
}

bool Upgrade::has_recorded_own_version() const {
  const model::VersionRecord own = recorded_version(context_.settings.platform.label);
  return own.version == model::kPresentVersion && own.incarnation == context_.incarnation;
}

bool Upgrade::is_running_older_version(const store::Replica& replica, const std::string& label,
                                       const Peer& peer) {
  if (!is_complete(replica) || !peer.heartbeat.is_ready ||
      peer.envelope_version >= model::kPresentVersion)
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
  context_.info("upgrade", "recording version {} of controller {}", record.version, label);
  commit({{key, recorded_version(label).revision}}, {key, wire::encode_version(record), 0});
}

// A record from an earlier process of the controller does not show the version of a process that
// was started later, possibly with the old version. A peer with a later incarnation than its record
// has to write its own record first.
bool Upgrade::has_present_version(const std::string& label) const {
  const model::VersionRecord record = recorded_version(label);
  if (record.version < model::kPresentVersion) return false;
  const Peer* peer = peers_.find(label);
  return peer == nullptr || peer->incarnation <= record.incarnation;
}

// The revisions of the leader record and of all version records are preconditions, so that the
// upgrade record is written only if none of them has changed since the decision.
void Upgrade::write_upgrade_record() {
  const auto labels = context_.settings.platform.sorted_labels();
  const bool all_upgraded = std::all_of(labels.begin(), labels.end(), [this](const auto& label) {
    return has_present_version(label);
  });
  if (!all_upgraded) return;
  std::vector<store::Precondition> preconditions{{wire::kLeaderKey, replica_.leader.revision},
                                                 {wire::kUpgradeKey, model::kNoRevision}};
  for (const auto& label : labels)
    preconditions.push_back({wire::version_key(label), recorded_version(label).revision});
  context_.info("upgrade",
                "all {} controllers have recorded version {}; writing the upgrade record",
                labels.size(), model::kPresentVersion);
  const model::UpgradeRecord record{model::kNoRevision, model::kPresentVersion};
  commit(preconditions, {wire::kUpgradeKey, wire::encode_upgrade(record), 0});
}

void Upgrade::commit(const std::vector<store::Precondition>& preconditions, store::Write write) {
  next_attempt_at_ =
      context_.now.steady + kRetryIntervalHeartbeats * context_.settings.platform.report_s;
  const std::string key = write.key;
  is_write_pending_ = committer_.commit(
      preconditions, {std::move(write)}, [this, key](const store::TransactionResult& result) {
        const bool should_read_back = result.outcome == store::TransactionOutcome::kConflict ||
                                      result.outcome == store::TransactionOutcome::kUnknown;
        if (should_read_back)
          committer_.refresh({key}, [this] { is_write_pending_ = false; });
        else
          is_write_pending_ = false;
      });
}

}  // namespace rooksill::membership
