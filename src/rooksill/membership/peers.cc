#include "rooksill/membership/peers.h"

#include <algorithm>
#include <utility>

namespace rooksill::membership {

namespace {

// In worker heartbeat intervals (PlatformSettings::report_s).
constexpr double kLivenessIntervalHeartbeats = 0.4;  // between two liveness records
constexpr double kLivenessTimeoutIntervals = 2.5;    // for which a liveness record counts
// A peer was in contact recently if that was within this many worker lease times.
constexpr double kRecentContactLeases = 2;
// Divisors of the unreachable timeout: after the quotient a liveness record is written for a peer
// without messages. The first recipient has to be without messages for longer than the others.
constexpr double kFirstRecipientTimeoutDivisor = 3;
constexpr double kOtherRecipientsTimeoutDivisor = 5;
// Divisor of the unreachable timeout: the quotient remains for a peer whose connection ended.
constexpr double kLostConnectionTimeoutDivisor = 2;

// Discards the state of the peer's earlier process.
void reset_for_new_process(uint64_t incarnation, Peer& peer) {
  peer.incarnation = incarnation;
  peer.last_sequence = 0;
  peer.heartbeat = {};
}

bool is_supported_version(const wire::Envelope& envelope) {
  return envelope.version >= model::kFirstVersion && envelope.version <= model::kPresentVersion;
}

// Incarnations increase with the wall-clock time of the start. Delayed packets can arrive out of
// order, also from an earlier process.
bool is_stale(const wire::Envelope& envelope, const Peer& peer) {
  if (envelope.incarnation != peer.incarnation) return envelope.incarnation < peer.incarnation;
  return envelope.sequence <= peer.last_sequence;
}

}  // namespace

Peers::Peers(runtime::Context& context) : context_(context) {
  for (const auto& address : context.settings.platform.peers) peers_[address.label];
  for (const auto& [label, peer] : peers_) labels_.push_back(label);
}

// ---- Messages ----------------------------------------------------------------------------------

std::optional<wire::Envelope> Peers::receive(const std::string& bytes) {
  auto unpacked = wire::unpack<wire::Envelope>(bytes);
  if (!unpacked || !is_supported_version(*unpacked)) return std::nullopt;
  wire::Envelope& envelope = *unpacked;
  auto found = peers_.find(envelope.label);
  if (found == peers_.end()) return std::nullopt;
  Peer& peer = found->second;
  if (is_stale(envelope, peer)) return std::nullopt;
  const bool is_new_process = envelope.incarnation != peer.incarnation;
  if (is_new_process) reset_for_new_process(envelope.incarnation, peer);
  if (is_new_process || !is_alive(envelope.label)) peer.alive_since = context_.now.steady;
  peer.last_sequence = envelope.sequence;
  peer.envelope_version = envelope.version;
  peer.last_received_at = context_.now.steady;
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

// A lost connection does not prove that the peer has failed: it still has half of the timeout to
// send a message.
void Peers::handle_connection_loss(const std::string& label) {
  auto found = peers_.find(label);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.last_received_at =
      std::min(peer.last_received_at,
               context_.now.steady - unreachable_timeout_s() / kLostConnectionTimeoutDivisor);
}

void Peers::extend_timeouts(double pause_s) {
  for (auto& [label, peer] : peers_) peer.last_received_at += pause_s;
}

// ---- Liveness records --------------------------------------------------------------------------

double Peers::liveness_record_interval_s() const {
  return kLivenessIntervalHeartbeats * context_.settings.platform.report_s;
}

void Peers::read_liveness_records(const store::Replica& replica) {
  if (!replica.synced) return;
  for (auto& [label, peer] : peers_) {
    auto record = replica.liveness_records.find(label);
    if (record != replica.liveness_records.end() &&
        record->second.revision > peer.liveness_record_revision)
      read_liveness_record(label, record->second, peer);
  }
  has_read_liveness_records_ = true;
}

// The liveness record shows that a peer is alive even if connections to it fail. Only records that
// are addressed to this controller count: a controller also writes them while some other one is
// down, and those must not delay the detection of its own failure.
void Peers::read_liveness_record(const std::string& label, const model::LivenessRecord& record,
                                 Peer& peer) {
  peer.liveness_record_revision = record.revision;
  // Records that existed when this process started may be stale.
  if (!has_read_liveness_records_ || record.incarnation < peer.incarnation) return;
  if (!is_addressed_to_self(record)) return;
  if (record.incarnation != peer.incarnation) reset_for_new_process(record.incarnation, peer);
  if (!is_alive(label)) peer.alive_since = context_.now.steady;
  peer.liveness_record_seen_at = context_.now.steady;
  if (is_reachable(label)) return;
  peer.heartbeat.is_ready = true;
  peer.heartbeat.is_store_available = true;
  peer.heartbeat.suspects_itself = record.suspects_itself;
  peer.heartbeat.unreachable_zones = record.unreachable_zones;
}

std::vector<std::string> Peers::liveness_recipients(const store::Replica& replica) const {
  std::vector<std::string> recipients;
  bool is_due = false;
  for (const auto& [label, peer] : peers_) {
    const double since_message_s = context_.now.steady - peer.last_received_at;
    const double since_contact_s =
        std::min(since_message_s, context_.now.steady - peer.liveness_record_seen_at);
    const bool is_recent =
        since_contact_s < kRecentContactLeases * context_.settings.platform.lease_s;
    const bool is_needed = is_liveness_record_needed(label, peer, replica);
    is_due =
        is_due || is_needed ||
        (is_recent && since_message_s > unreachable_timeout_s() / kFirstRecipientTimeoutDivisor);
    // If one peer is becoming unreachable, others that missed a heartbeat probably are too, so one
    // record is written for all of them.
    if (is_needed ||
        (is_recent && since_message_s > unreachable_timeout_s() / kOtherRecipientsTimeoutDivisor))
      recipients.push_back(label);
  }
  if (!is_due) recipients.clear();
  return recipients;
}

// Returns whether the peer's recent liveness record is addressed to this controller, which shows
// that messages between the two do not arrive.
bool Peers::is_liveness_record_needed(const std::string& label, const Peer& peer,
                                      const store::Replica& replica) const {
  auto record = replica.liveness_records.find(label);
  return has_recent_liveness_record(peer) && record != replica.liveness_records.end() &&
         is_addressed_to_self(record->second);
}

bool Peers::has_recent_liveness_record(const Peer& peer) const {
  return context_.now.steady - peer.liveness_record_seen_at <
         kLivenessTimeoutIntervals * liveness_record_interval_s();
}

bool Peers::is_addressed_to_self(const model::LivenessRecord& record) const {
  const auto& labels = record.intended_recipients;
  return std::find(labels.begin(), labels.end(), context_.settings.platform.label) != labels.end();
}

// ---- Failure detection -------------------------------------------------------------------------

const Peer* Peers::find(const std::string& label) const {
  auto found = peers_.find(label);
  return found == peers_.end() ? nullptr : &found->second;
}

double Peers::unreachable_timeout_s() const {
  return context_.settings.operators.peer_timeout_reports * context_.settings.platform.report_s;
}

bool Peers::is_reachable(const std::string& label) const {
  const Peer* peer = find(label);
  return peer != nullptr && context_.now.steady - peer->last_received_at < unreachable_timeout_s();
}

bool Peers::is_alive(const std::string& label) const {
  const Peer* peer = find(label);
  return peer != nullptr && (is_reachable(label) || has_recent_liveness_record(*peer));
}

int Peers::live_controller_count() const {
  const auto alive_peers = std::count_if(labels_.begin(), labels_.end(),
                                         [this](const auto& label) { return is_alive(label); });
  return 1 + static_cast<int>(alive_peers);
}

double Peers::last_contact_at() const {
  double last = kNever;
  for (const auto& [label, peer] : peers_)
    last = std::max({last, peer.last_received_at, peer.liveness_record_seen_at});
  return last;
}

bool Peers::has_leader_message_within(double seconds) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.heartbeat.term > 0 && context_.now.steady - peer.last_received_at < seconds;
  });
}

}  // namespace rooksill::membership
