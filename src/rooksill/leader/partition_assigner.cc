#include "rooksill/leader/partition_assigner.h"

#include <algorithm>

#include "rooksill/membership/upgrade.h"
#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/store/client.h"
#include "rooksill/wire/controller_messages.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::leader {

namespace {
// In report periods.
constexpr double kGatherReports =
    0.2;  // from this process's start until it leads without the others
constexpr double kSettleReports =
    2;  // for which a returned controller is heard before it gets more
constexpr double kSecondOpinionReports = 20;  // for which the owner after a suspect one is believed
// A partition moves only if that makes the numbers more even.
constexpr int kMinDifference = 2;
}  // namespace

PartitionAssigner::PartitionAssigner(runtime::Context& context, const store::Replica& replica,
                                     store::Committer& committer, const membership::Peers& peers,
                                     const partition::PartitionOwner& owner,
                                     const Election& election)
    : context_(context),
      replica_(replica),
      committer_(committer),
      peers_(peers),
      owner_(owner),
      election_(election) {}

bool PartitionAssigner::Candidates::include(const std::string& label) const {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

const std::string& PartitionAssigner::Candidates::least_loaded() const {
  return *std::min_element(labels.begin(), labels.end(), [this](const auto& a, const auto& b) {
    return owned.at(a) < owned.at(b);
  });
}

void PartitionAssigner::start_term() {
  in_flight_.clear();
  taken_from_suspect_.clear();
}

void PartitionAssigner::assign() {
  Candidates candidates = find_candidates();
  if (candidates.labels.empty()) return;
  replace_owners(candidates);
  rebalance(candidates);
}

// ---- who may own partitions
// ----------------------------------------------------------------------

PartitionAssigner::Candidates PartitionAssigner::find_candidates() {
  const auto labels = context_.settings.platform.sorted_labels();
  Candidates candidates;
  for (const auto& label : labels)
    if (may_own(label)) candidates.labels.push_back(label);
  // Where every controller sees silence it is the machines that are silent.
  if (candidates.labels.empty())
    for (const auto& label : labels)
      if (is_self(label) || peers_.alive(label)) candidates.labels.push_back(label);
  for (const auto& label : candidates.labels) candidates.owned[label] = 0;
  for (const auto& partition_lease : replica_.leases) ++candidates.owned[partition_lease.owner];
  return candidates;
}

bool PartitionAssigner::may_own(const std::string& label) {
  const std::string reason = reason_against(label);
  std::string& known = unfit_[label];
  if (known != reason) {
    context_.info("leader", "{} is {}", label,
                  reason.empty() ? "fit to own partitions" : "not fit: " + reason);
    known = reason;
  }
  return reason.empty();
}

// Empty if the controller may own partitions.
std::string PartitionAssigner::reason_against(const std::string& label) const {
  if (is_self(label)) return owner_.suspects_itself() ? "it suspects itself" : "";
  if (!peers_.alive(label)) return "it is not heard";
  const membership::Peer& peer = *peers_.find(label);
  const wire::ControllerHeartbeat& heartbeat = peer.heartbeat;
  if (!heartbeat.is_ready) return "its replica is not loaded";
  if (membership::Upgrade::runs_older_version(replica_, label, peer))
    return "it runs an older version";
  if (!heartbeat.is_store_available) return "the store does not answer it";
  if (heartbeat.suspects_itself) return "it suspects itself";
  return "";
}

// After a crash of all controllers the others are heard a moment later than the first of them
// leads. Waiting for them costs less than giving one of them all the workers first and moving most
// of them again.
bool PartitionAssigner::waits_for_peers() const {
  const double since_start = context_.now.steady - election_.first_tick();
  if (since_start >= kGatherReports * context_.settings.platform.report_s) return false;
  const auto labels = context_.settings.platform.sorted_labels();
  return std::any_of(labels.begin(), labels.end(), [&](const auto& label) {
    const membership::Peer* peer = peers_.find(label);
    return peer != nullptr && (peer->incarnation == 0 || !peer->heartbeat.is_ready);
  });
}

// ---- leases
// ----------------------------------------------------------------------------------------

void PartitionAssigner::replace_owners(Candidates& candidates) {
  if (waits_for_peers()) return;
  for (size_t i = 0; i < replica_.leases.size(); ++i) {
    const model::PartitionLease& current = replica_.leases[i];
    if (candidates.include(current.owner) && current.incarnation == incarnation_of(current.owner))
      continue;
    const int partition = static_cast<int>(i);
    const std::string to = candidates.least_loaded();
    ++candidates.owned[to];
    if (suspects_itself(current.owner)) taken_from_suspect_[partition] = context_.now.steady;
    lease(partition, to, current.owner.empty() ? "first lease" : "its owner is not fit");
  }
}

// A controller that has been back for a while gets a partition of the one with the most: its home
// partition if that is among them. Not only its home: after several crashes each may own another's.
void PartitionAssigner::rebalance(const Candidates& candidates) {
  const double settle = kSettleReports * context_.settings.platform.report_s;
  const std::map<std::string, int>& owned = candidates.owned;
  std::string most = candidates.labels.front(), to;
  for (const auto& label : candidates.labels) {
    const membership::Peer* peer = peers_.find(label);
    const double back_since = peer != nullptr ? peer->first_heard : election_.term_started();
    if (owned.at(label) > owned.at(most)) most = label;
    if (context_.now.steady - back_since > settle && (to.empty() || owned.at(label) < owned.at(to)))
      to = label;
  }
  if (to.empty() || owned.at(most) < owned.at(to) + kMinDifference || !in_flight_.empty()) return;
  const int partition = partition_to_move(most, to);
  if (partition >= 0) lease(partition, to, "it owns fewer");
}

// The first partition of `from`, or the first whose home is `to` if there is one; -1: none.
int PartitionAssigner::partition_to_move(const std::string& from, const std::string& to) const {
  const auto labels = context_.settings.platform.sorted_labels();
  int first = -1;
  for (size_t i = 0; i < replica_.leases.size(); ++i) {
    if (replica_.leases[i].owner != from) continue;
    const int partition = static_cast<int>(i);
    if (labels[i % labels.size()] == to) return partition;
    if (first < 0) first = partition;
  }
  return first;
}

model::PartitionLease PartitionAssigner::next_lease(const std::string& label) const {
  model::PartitionLease next;
  next.owner = label;
  next.incarnation = incarnation_of(label);
  for (const auto& other : replica_.leases)
    next.fencing_token = std::max(next.fencing_token, other.fencing_token);
  next.fencing_token = model::next(next.fencing_token);
  return next;
}

void PartitionAssigner::lease(int partition, const std::string& label, const std::string& reason) {
  if (in_flight_.count(partition) != 0) return;
  const model::PartitionLease next = next_lease(label);
  const std::string key = wire::lease_key(partition);
  const bool sent = committer_.commit(
      {{wire::kLeaderKey, replica_.leader.revision},
       {key, replica_.leases[static_cast<size_t>(partition)].revision}},
      {{key, wire::encode_lease(next), 0}},
      [this, partition, key](const store::TransactionResult& result) {
        const bool read_back = result.outcome == store::TransactionOutcome::kConflict ||
                               result.outcome == store::TransactionOutcome::kUnknown;
        if (read_back)
          committer_.refresh({key}, [this, partition] { in_flight_.erase(partition); });
        else
          in_flight_.erase(partition);
      });
  if (!sent) return;
  in_flight_.insert(partition);
  context_.info("leader", "partition {} leased to {} with token {} ({})", partition, label,
                model::number(next.fencing_token), reason);
}

// ---- what owners say ---------------------------------------------------------------------------

std::set<int> PartitionAssigner::suspect_partitions() const {
  std::set<int> suspect;
  const double believed_s = kSecondOpinionReports * context_.settings.platform.report_s;
  for (size_t i = 0; i < replica_.leases.size(); ++i) {
    const std::string& owner = replica_.leases[i].owner;
    const int partition = static_cast<int>(i);
    const bool doubtful = suspects_itself(owner) || (!is_self(owner) && !peers_.alive(owner));
    auto taken = taken_from_suspect_.find(partition);
    const bool second_opinion =
        taken != taken_from_suspect_.end() && context_.now.steady - taken->second < believed_s;
    if (doubtful && !second_opinion) suspect.insert(partition);
  }
  return suspect;
}

fleet::UnreachableZones PartitionAssigner::unreachable_zones() const {
  std::set<std::string> owners;
  std::map<std::string, std::set<std::string>> owners_by_zone;
  fleet::UnreachableZones unreachable;
  for (size_t i = 0; i < replica_.leases.size(); ++i) {
    const std::string& owner = replica_.leases[i].owner;
    owners.insert(owner);
    for (const auto& zone : zones_unreachable_to(owner)) {
      unreachable.to_owner.insert({static_cast<int>(i), zone});
      owners_by_zone[zone].insert(owner);
    }
  }
  for (const auto& [zone, cut_off] : owners_by_zone)
    if (cut_off.size() * 2 > owners.size()) unreachable.to_most.insert(zone);
  return unreachable;
}

bool PartitionAssigner::is_self(const std::string& label) const {
  return label == context_.settings.platform.label;
}

bool PartitionAssigner::suspects_itself(const std::string& label) const {
  if (is_self(label)) return owner_.suspects_itself();
  const membership::Peer* peer = peers_.find(label);
  return peer != nullptr && peer->heartbeat.suspects_itself;
}

// 0: no process of that controller is known.
uint64_t PartitionAssigner::incarnation_of(const std::string& label) const {
  if (is_self(label)) return context_.incarnation;
  const membership::Peer* peer = peers_.find(label);
  return peer != nullptr ? peer->incarnation : 0;
}

std::vector<std::string> PartitionAssigner::zones_unreachable_to(const std::string& label) const {
  if (is_self(label)) return owner_.unreachable_zones();
  const membership::Peer* peer = peers_.find(label);
  if (peer == nullptr) return {};
  return peer->heartbeat.unreachable_zones;
}

}  // namespace rooksill::leader
