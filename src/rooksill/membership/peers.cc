#include "rooksill/membership/peers.h"

#include <algorithm>
#include <utility>

namespace rooksill::membership {

namespace {

constexpr double kLivenessReports = 0.4;   // report periods between two liveness records
constexpr double kLivenessPatience = 2.5;  // intervals for which a record counts
// A peer that was heard within so many lease times was heard lately.
constexpr double kRecentLeases = 2;
// Parts of the silence after which a peer seems lost. One alone has to be quiet for longer.
constexpr double kFirstLostDivisor = 3;
constexpr double kOthersLostDivisor = 5;
// Part of its patience that a peer keeps when its connection ends.
constexpr double kLostConnectionDivisor = 2;

// Another process runs as this controller now.
void start_process(uint64_t incarnation, Peer& peer) {
  peer.incarnation = incarnation;
  peer.sequence = 0;
  peer.heartbeat = {};
}

bool known_version(const wire::Envelope& envelope) {
  return envelope.version >= model::kFirstVersion && envelope.version <= model::kPresentVersion;
}

// Incarnations grow with the time of day. Packets that were held up come late, also from an earlier
// process.
bool is_outdated(const wire::Envelope& envelope, const Peer& peer) {
  if (envelope.incarnation != peer.incarnation) return envelope.incarnation < peer.incarnation;
  return envelope.sequence <= peer.sequence;
}

}  // namespace

Peers::Peers(runtime::Context& context) : context_(context) {
  for (const auto& address : context.settings.platform.peers) peers_[address.label];
  for (const auto& [label, peer] : peers_) labels_.push_back(label);
}

// ---- messages
// --------------------------------------------------------------------------------------

std::optional<wire::Envelope> Peers::receive(const std::string& bytes) {
  auto unpacked = wire::unpack<wire::Envelope>(bytes);
  if (!unpacked || !known_version(*unpacked)) return std::nullopt;
  wire::Envelope& envelope = *unpacked;
  auto found = peers_.find(envelope.label);
  if (found == peers_.end()) return std::nullopt;
  Peer& peer = found->second;
  if (is_outdated(envelope, peer)) return std::nullopt;
  const bool new_process = envelope.incarnation != peer.incarnation;
  if (new_process) start_process(envelope.incarnation, peer);
  if (new_process || !alive(envelope.label)) peer.first_heard = context_.now.steady;
  peer.sequence = envelope.sequence;
  peer.version = envelope.version;
  peer.last_heard = context_.now.steady;
  return envelope;
}

void Peers::record_heartbeat(const std::string& label, wire::ControllerHeartbeat heartbeat) {
  peers_.at(label).heartbeat = std::move(heartbeat);
}

void Peers::send(const std::string& label, wire::PeerMessageKind kind, const std::string& payload) {
  wire::Envelope envelope;
  envelope.version = envelope_version_;
  envelope.kind = static_cast<int>(kind);
  envelope.label = context_.settings.platform.label;
  envelope.incarnation = context_.incarnation;
  envelope.sequence = ++last_sequence_;
  envelope.payload = payload;
  context_.send_to_peer(label, wire::pack(envelope));
}

void Peers::broadcast(wire::PeerMessageKind kind, const std::string& payload) {
  for (const auto& label : labels_) send(label, kind, payload);
}

// An ended connection is a hint only: the peer gets half of its patience to be heard again.
void Peers::connection_lost(const std::string& label) {
  auto found = peers_.find(label);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.last_heard =
      std::min(peer.last_heard, context_.now.steady - silence() / kLostConnectionDivisor);
}

void Peers::discount_pause(double pause_s) {
  for (auto& [label, peer] : peers_) peer.last_heard += pause_s;
}

// ---- liveness records
// ------------------------------------------------------------------------------

double Peers::liveness_interval() const {
  return kLivenessReports * context_.settings.platform.report_s;
}

void Peers::read_liveness_records(const store::Replica& replica) {
  if (!replica.synced) return;
  for (auto& [label, peer] : peers_) {
    auto record = replica.liveness_records.find(label);
    if (record != replica.liveness_records.end() &&
        record->second.revision > peer.liveness_revision)
      read_liveness_record(label, record->second, peer);
  }
  liveness_records_read_ = true;
}

// A peer whose connections are refused is not dead for that: its record shows that it is alive.
// Only records that are meant for us count: a controller writes them also while another one is
// down, and its own death must not be found out the later for it.
void Peers::read_liveness_record(const std::string& label, const model::LivenessRecord& record,
                                 Peer& peer) {
  peer.liveness_revision = record.revision;
  // What was there when this process started may be long out of date.
  if (!liveness_records_read_ || record.incarnation < peer.incarnation) return;
  if (!is_meant_for_us(record)) return;
  if (record.incarnation != peer.incarnation) start_process(record.incarnation, peer);
  if (!alive(label)) peer.first_heard = context_.now.steady;
  peer.liveness_seen_at = context_.now.steady;
  if (heard(label)) return;
  peer.heartbeat.is_ready = true;
  peer.heartbeat.is_store_available = true;
  peer.heartbeat.suspects_itself = record.suspects_itself;
  peer.heartbeat.unreachable_zones = record.unreachable_zones;
}

std::vector<std::string> Peers::liveness_recipients(const store::Replica& replica) const {
  std::vector<std::string> recipients;
  bool due = false;
  for (const auto& [label, peer] : peers_) {
    const double quiet = context_.now.steady - peer.last_heard;
    const double unseen = std::min(quiet, context_.now.steady - peer.liveness_seen_at);
    const bool lately = unseen < kRecentLeases * context_.settings.platform.lease_s;
    const bool asks = asks_for_liveness_record(label, peer, replica);
    due = due || asks || (lately && quiet > silence() / kFirstLostDivisor);
    // With one lost, others that missed a heartbeat are likely lost as well: one record for all.
    if (asks || (lately && quiet > silence() / kOthersLostDivisor)) recipients.push_back(label);
  }
  if (!due) recipients.clear();
  return recipients;
}

// Its own record is meant for us: it does not hear us, or we do not hear it.
bool Peers::asks_for_liveness_record(const std::string& label, const Peer& peer,
                                     const store::Replica& replica) const {
  auto record = replica.liveness_records.find(label);
  return has_recent_liveness_record(peer) && record != replica.liveness_records.end() &&
         is_meant_for_us(record->second);
}

bool Peers::has_recent_liveness_record(const Peer& peer) const {
  return context_.now.steady - peer.liveness_seen_at < kLivenessPatience * liveness_interval();
}

bool Peers::is_meant_for_us(const model::LivenessRecord& record) const {
  const auto& labels = record.meant_for;
  return std::find(labels.begin(), labels.end(), context_.settings.platform.label) != labels.end();
}

// ---- who is alive
// ----------------------------------------------------------------------------------

const Peer* Peers::find(const std::string& label) const {
  auto found = peers_.find(label);
  return found == peers_.end() ? nullptr : &found->second;
}

double Peers::silence() const {
  return context_.settings.operators.peer_timeout_reports * context_.settings.platform.report_s;
}

bool Peers::heard(const std::string& label) const {
  const Peer* peer = find(label);
  return peer != nullptr && context_.now.steady - peer->last_heard < silence();
}

bool Peers::alive(const std::string& label) const {
  const Peer* peer = find(label);
  return peer != nullptr && (heard(label) || has_recent_liveness_record(*peer));
}

int Peers::live_controllers() const {
  const auto alive_peers = std::count_if(labels_.begin(), labels_.end(),
                                         [this](const auto& label) { return alive(label); });
  return 1 + static_cast<int>(alive_peers);
}

double Peers::last_heard_any() const {
  double last = kNever;
  for (const auto& [label, peer] : peers_)
    last = std::max({last, peer.last_heard, peer.liveness_seen_at});
  return last;
}

bool Peers::leader_heard_within(double seconds) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.heartbeat.term > 0 && context_.now.steady - peer.last_heard < seconds;
  });
}

}  // namespace rooksill::membership
