#include "rooksill/membership/peers.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "rooksill/model/coordination.h"

namespace rooksill::membership {

std::optional<wire::Envelope> Peers::receive(const std::string& bytes) {
  wire::Envelope e;
  if (!wire::unpack(bytes, e) || e.version < model::kFirstVersion ||
      e.version > model::kPresentVersion)
    return std::nullopt;
  auto it = peers_.find(e.label);
  if (it == peers_.end()) return std::nullopt;
  Peer& p = it->second;
  if (e.incarnation != p.incarnation) {
    // Incarnations grow with the time of day; held packets of an earlier process come late.
    if (e.incarnation < p.incarnation) return std::nullopt;
    p.incarnation = e.incarnation;
    p.sequence = 0;
    p.first_heard = ctx_.now.steady;
    p.heartbeat = {};
  } else if (e.sequence <= p.sequence) {
    return std::nullopt;
  }
  if (!alive(e.label)) p.first_heard = ctx_.now.steady;
  p.sequence = e.sequence;
  p.version = e.version;
  p.last_heard = ctx_.now.steady;
  return e;
}

void Peers::send(const std::string& label, wire::PeerKind kind, const std::string& payload) {
  wire::Envelope e;
  e.version = version_;
  e.kind = static_cast<int>(kind);
  e.label = ctx_.settings.platform.label;
  e.incarnation = ctx_.incarnation;
  e.sequence = ++seq_;
  e.payload = payload;
  ctx_.send_to_peer(label, wire::pack(e));
}

void Peers::broadcast(wire::PeerKind kind, const std::string& payload) {
  for (const auto& [label, p] : peers_) send(label, kind, payload);
}

void Peers::lost(const std::string& label) {
  auto it = peers_.find(label);
  if (it == peers_.end()) return;
  // An ended connection is a hint only: the peer gets half of its patience to be heard again.
  it->second.last_heard = std::min(it->second.last_heard, ctx_.now.steady - silence() / 2);
}

bool Peers::heard(const std::string& label) const {
  const Peer* p = find(label);
  return p != nullptr && ctx_.now.steady - p->last_heard < silence();
}

bool Peers::alive(const std::string& label) const {
  const Peer* p = find(label);
  return heard(label) || (p != nullptr && ctx_.now.steady - p->liveness_seen_at <
                                              kLivenessPatience * liveness_interval());
}

// Connections that are refused are no deaths. Only signs meant for us count: a controller writes
// them too while another is down, and its own death must not be found out the later for it.
void Peers::see(const store::Replica& replica) {
  if (!replica.synced) return;
  const auto& self = ctx_.settings.platform.label;
  for (auto& [label, p] : peers_) {
    auto it = replica.liveness_records.find(label);
    if (it == replica.liveness_records.end() || it->second.revision <= p.liveness_revision)
      continue;
    const model::LivenessRecord& s = it->second;
    p.liveness_revision = s.revision;
    // What was there when this process started may be long out of date.
    if (!liveness_known_ || s.incarnation < p.incarnation) continue;
    if (std::find(s.meant_for.begin(), s.meant_for.end(), self) == s.meant_for.end()) continue;
    if (s.incarnation != p.incarnation) {
      p.incarnation = s.incarnation;
      p.sequence = 0;
      p.heartbeat = {};
    }
    if (!alive(label)) p.first_heard = ctx_.now.steady;
    p.liveness_seen_at = ctx_.now.steady;
    if (heard(label)) continue;
    p.heartbeat.ready = p.heartbeat.store_ok = true;
    p.heartbeat.suspects_itself = s.suspects_itself;
    p.heartbeat.unreachable_zones = s.unreachable_zones;
  }
  liveness_known_ = true;
}

std::vector<std::string> Peers::owed(const store::Replica& replica) const {
  std::vector<std::string> out;
  const double now = ctx_.now.steady;
  const auto& self = ctx_.settings.platform.label;
  bool due = false;
  for (const auto& [label, p] : peers_) {
    const double quiet = now - p.last_heard;
    const bool lately =
        std::min(quiet, now - p.liveness_seen_at) < 2 * ctx_.settings.platform.lease_s;
    auto it = replica.liveness_records.find(label);
    const bool asks = now - p.liveness_seen_at < kLivenessPatience * liveness_interval() &&
                      it != replica.liveness_records.end() &&
                      std::find(it->second.meant_for.begin(), it->second.meant_for.end(), self) !=
                          it->second.meant_for.end();
    due = due || asks || (lately && quiet > silence() / 3);
    // With one lost, the others that missed a heartbeat are likely lost as well: one sign for all.
    if (asks || (lately && quiet > silence() / 5)) out.push_back(label);
  }
  if (!due) out.clear();
  return out;
}

int Peers::live() const {
  int n = 1;
  for (const auto& [label, p] : peers_) n += alive(label) ? 1 : 0;
  return n;
}

bool Peers::leader_heard_within(double seconds) const {
  for (const auto& [label, p] : peers_)
    if (p.heartbeat.term > 0 && ctx_.now.steady - p.last_heard < seconds) return true;
  return false;
}

double Peers::last_heard_any() const {
  double last = -1e9;
  for (const auto& [label, p] : peers_) last = std::max({last, p.last_heard, p.liveness_seen_at});
  return last;
}

}  // namespace rooksill::membership
