#include "rooksill/core/peers.h"

#include <algorithm>

namespace rooksill::core {

std::optional<net::Envelope> Peers::receive(const std::string& bytes) {
  net::Envelope e;
  if (!net::unpack(bytes, e) || e.version != 1) return std::nullopt;
  auto it = peers_.find(e.label);
  if (it == peers_.end()) return std::nullopt;
  Peer& p = it->second;
  if (e.incarnation != p.incarnation) {
    // Incarnations grow with the time of day; held packets of an earlier process come late.
    if (e.incarnation < p.incarnation) return std::nullopt;
    p.incarnation = e.incarnation;
    p.seq = 0;
    p.first_heard = ctx_.now.steady;
    p.beat = {};
  } else if (e.seq <= p.seq) {
    return std::nullopt;
  }
  if (!alive(e.label)) p.first_heard = ctx_.now.steady;
  p.seq = e.seq;
  p.last_heard = ctx_.now.steady;
  return e;
}

void Peers::send(const std::string& label, net::PeerKind kind, const std::string& payload) {
  net::Envelope e;
  e.kind = static_cast<int>(kind);
  e.label = ctx_.settings.platform.label;
  e.incarnation = ctx_.incarnation;
  e.seq = ++seq_;
  e.payload = payload;
  ctx_.out.peer.push_back({label, net::pack(e)});
}

void Peers::broadcast(net::PeerKind kind, const std::string& payload) {
  for (const auto& [label, p] : peers_) send(label, kind, payload);
}

void Peers::lost(const std::string& label) {
  auto it = peers_.find(label);
  if (it == peers_.end()) return;
  // An ended connection is a hint only: the peer gets half of its patience to be heard again.
  it->second.last_heard = std::min(it->second.last_heard, ctx_.now.steady - silence() / 2);
}

bool Peers::alive(const std::string& label) const {
  const Peer* p = find(label);
  return p != nullptr && ctx_.now.steady - p->last_heard < silence();
}

int Peers::live() const {
  int n = 1;
  for (const auto& [label, p] : peers_) n += alive(label) ? 1 : 0;
  return n;
}

double Peers::last_heard_any() const {
  double last = -1e9;
  for (const auto& [label, p] : peers_) last = std::max(last, p.last_heard);
  return last;
}

}  // namespace rooksill::core
