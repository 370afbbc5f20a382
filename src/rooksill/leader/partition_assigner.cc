#include "rooksill/leader/partition_assigner.h"

#include <algorithm>

#include "rooksill/membership/upgrade.h"
#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/store/client.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::leader {

namespace {
// The following are in heartbeat intervals of the workers (report_s).

// How long after its start this process waits for the other controllers before it assigns
// partitions.
constexpr double kStartupWaitHeartbeats = 0.2;
// How long a returned controller must have been reachable before partitions are moved to it.
constexpr double kReturnSettleHeartbeats = 2;
// How long an owner's reports of unreachable machines are trusted if it replaced an owner that
// was probably isolated.
constexpr double kReplacementTrustHeartbeats = 20;

// A partition is moved only if the controllers' numbers of partitions differ by at least this much,
// so that a move always makes them more even.
constexpr int kMinRebalanceDifference = 2;
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

bool PartitionAssigner::Candidates::contains(const std::string& label) const {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

const std::string& PartitionAssigner::Candidates::least_loaded() const {
  return *std::min_element(labels.begin(), labels.end(), [this](const auto& a, const auto& b) {
    return partition_counts.at(a) < partition_counts.at(b);
  });
}

void PartitionAssigner::start_term() {
  in_flight_.clear();
  reassigned_from_suspect_at_.clear();
}

void PartitionAssigner::assign() {
  Candidates candidates = find_candidates();
  if (candidates.labels.empty()) return;
  replace_owners(candidates);
  rebalance(candidates);
}

void PartitionAssigner::renew_lease(const std::string& sender,
                                    const wire::LeaseRenewalRequest& request) {
  const auto partition = static_cast<size_t>(request.partition);
  if (request.partition < 0 || partition >= replica_.leases.size()) return;
  const model::PartitionLease& current = replica_.leases[partition];
  if (current.owner != sender || current.fencing_token != request.fencing_token ||
      current.incarnation != incarnation_of(sender))
    return;
  write_lease(request.partition, sender, "its fencing tokens no longer suffice");
}

// ---- Eligible owners

// Returns the eligible controllers or, if there are none, all live ones.
PartitionAssigner::Candidates PartitionAssigner::find_candidates() {
  const auto labels = context_.settings.platform.sorted_labels();
  Candidates candidates;
  for (const auto& label : labels)
    if (check_eligibility(label)) candidates.labels.push_back(label);
  // If no controller is eligible, for example because nearly all workers are unreachable to each,
  // the fault lies with the machines rather than the controllers: every live controller is a
  // candidate.
  if (candidates.labels.empty())
    for (const auto& label : labels)
      if (is_self(label) || peers_.is_alive(label)) candidates.labels.push_back(label);
  for (const auto& label : candidates.labels) candidates.partition_counts[label] = 0;
  for (const auto& partition_lease : replica_.leases)
    ++candidates.partition_counts[partition_lease.owner];
  return candidates;
}

// Returns whether the controller may own partitions, and logs a change of that.
bool PartitionAssigner::check_eligibility(const std::string& label) {
  const std::string reason = ineligibility_reason(label);
  std::string& last_reason = ineligibility_reasons_[label];
  if (last_reason != reason) {
    context_.info("leader", "controller {} is {}", label,
                  reason.empty() ? "eligible to own partitions"
                                 : "not eligible to own partitions: " + reason);
    last_reason = reason;
  }
  return reason.empty();
}

// Returns why the controller may not own partitions; empty if it may.
std::string PartitionAssigner::ineligibility_reason(const std::string& label) const {
  if (is_self(label))
    return owner_.is_likely_isolated() ? "nearly all of its workers are unreachable" : "";
  if (!peers_.is_alive(label)) return "it is not alive";
  const membership::Peer& peer = *peers_.find(label);
  const wire::ControllerHeartbeat& heartbeat = peer.heartbeat;
  if (!heartbeat.is_ready) return "its replica is not loaded";
  if (membership::Upgrade::is_running_older_version(replica_, label, peer))
    return "it runs an older version";
  if (!heartbeat.is_store_available) return "it cannot reach the store";
  if (heartbeat.suspects_itself) return "nearly all of its workers are unreachable";
  return "";
}

// After a crash of all controllers, the first one to become leader receives messages from the
// others a moment later. Waiting for them is cheaper than assigning all workers to one controller
// and then moving most of them again.
bool PartitionAssigner::should_wait_for_peers() const {
  const double since_start_s = context_.now.steady - election_.first_tick_at();
  if (since_start_s >= kStartupWaitHeartbeats * context_.settings.platform.report_s) return false;
  const auto labels = context_.settings.platform.sorted_labels();
  return std::any_of(labels.begin(), labels.end(), [&](const auto& label) {
    const membership::Peer* peer = peers_.find(label);
    return peer != nullptr && (peer->incarnation == 0 || !peer->heartbeat.is_ready);
  });
}

// ---- Leases

void PartitionAssigner::replace_owners(Candidates& candidates) {
  if (should_wait_for_peers()) return;
  for (size_t i = 0; i < replica_.leases.size(); ++i) {
    const model::PartitionLease& current = replica_.leases[i];
    if (candidates.contains(current.owner) && current.incarnation == incarnation_of(current.owner))
      continue;
    const int partition = static_cast<int>(i);
    const std::string new_owner = candidates.least_loaded();
    ++candidates.partition_counts[new_owner];
    if (is_likely_isolated(current.owner))
      reassigned_from_suspect_at_[partition] = context_.now.steady;
    write_lease(partition, new_owner,
                current.owner.empty() ? "first lease" : "its owner is not eligible");
  }
}

// Moves a partition from the most loaded controller to one that has been reachable for the settle
// time, preferably the receiver's home partition. Other partitions move as well, because after
// several crashes each controller may own another's home partition.
void PartitionAssigner::rebalance(const Candidates& candidates) {
  const double settle_s = kReturnSettleHeartbeats * context_.settings.platform.report_s;
  const std::map<std::string, int>& counts = candidates.partition_counts;
  std::string most_loaded = candidates.labels.front(), receiver;
  for (const auto& label : candidates.labels) {
    const membership::Peer* peer = peers_.find(label);
    const double reachable_since =
        peer != nullptr ? peer->alive_since : election_.term_started_at();
    if (counts.at(label) > counts.at(most_loaded)) most_loaded = label;
    if (context_.now.steady - reachable_since > settle_s &&
        (receiver.empty() || counts.at(label) < counts.at(receiver)))
      receiver = label;
  }
  if (receiver.empty() || counts.at(most_loaded) < counts.at(receiver) + kMinRebalanceDifference ||
      !in_flight_.empty())
    return;
  const int partition = choose_partition_to_move(most_loaded, receiver);
  if (partition >= 0) write_lease(partition, receiver, "the new owner has fewer partitions");
}

// Returns the first partition of `from` whose home is `to`, otherwise the first partition of
// `from`; -1 if it has none.
int PartitionAssigner::choose_partition_to_move(const std::string& from,
                                                const std::string& to) const {
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

void PartitionAssigner::write_lease(int partition, const std::string& label,
                                    const std::string& reason) {
  if (in_flight_.count(partition) != 0) return;
  const model::PartitionLease next = next_lease(label);
  const std::string key = wire::lease_key(partition);
  const bool sent = committer_.commit(
      {{wire::kLeaderKey, replica_.leader.revision},
       {key, replica_.leases[static_cast<size_t>(partition)].revision}},
      {{key, wire::encode_lease(next), 0}},
      [this, partition, key](const store::TransactionResult& result) {
        const bool needs_read_back = result.outcome == store::TransactionOutcome::kConflict ||
                                     result.outcome == store::TransactionOutcome::kUnknown;
        if (needs_read_back)
          committer_.refresh({key}, [this, partition] { in_flight_.erase(partition); });
        else
          in_flight_.erase(partition);
      });
  if (!sent) return;
  in_flight_.insert(partition);
  context_.info("leader", "partition {} leased to {} with fencing token {}: {}", partition, label,
                model::number(next.fencing_token), reason);
}

// ---- Owners' reports

std::set<int> PartitionAssigner::suspect_partitions() const {
  std::set<int> suspect;
  const double trust_s = kReplacementTrustHeartbeats * context_.settings.platform.report_s;
  for (size_t i = 0; i < replica_.leases.size(); ++i) {
    const std::string& owner = replica_.leases[i].owner;
    const int partition = static_cast<int>(i);
    const bool is_doubtful =
        is_likely_isolated(owner) || (!is_self(owner) && !peers_.is_alive(owner));
    auto reassigned = reassigned_from_suspect_at_.find(partition);
    const bool is_replacement_trusted = reassigned != reassigned_from_suspect_at_.end() &&
                                        context_.now.steady - reassigned->second < trust_s;
    if (is_doubtful && !is_replacement_trusted) suspect.insert(partition);
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
  for (const auto& [zone, reporting_owners] : owners_by_zone)
    if (reporting_owners.size() * 2 > owners.size()) unreachable.to_most_owners.insert(zone);
  return unreachable;
}

bool PartitionAssigner::is_self(const std::string& label) const {
  return label == context_.settings.platform.label;
}

bool PartitionAssigner::is_likely_isolated(const std::string& label) const {
  if (is_self(label)) return owner_.is_likely_isolated();
  const membership::Peer* peer = peers_.find(label);
  return peer != nullptr && peer->heartbeat.suspects_itself;
}

// Returns 0 if no process of the controller is known.
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
