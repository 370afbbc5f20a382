// What the other controllers said last.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::membership {

struct Peer {
  uint64_t incarnation = 0, sequence = 0;
  int version = 0;  // of the envelope that came last
  double last_heard = -1e9, first_heard = 0;
  double liveness_seen_at = -1e9;  // when its last liveness record for us was seen in the state
  model::Revision liveness_revision = model::kNoRevision;  // of the last one known
  wire::ControllerHeartbeat heartbeat;
};

class Peers {
 public:
  explicit Peers(runtime::Context& ctx) : ctx_(ctx) {
    for (const auto& p : ctx.settings.platform.peers) peers_[p.label];
    for (const auto& [label, p] : peers_) labels_.push_back(label);
  }

  // Nothing if the message is malformed, from nobody known, or older than what was heard.
  std::optional<wire::Envelope> receive(const std::string& bytes);
  void send(const std::string& label, wire::PeerKind kind, const std::string& payload);
  void broadcast(wire::PeerKind kind, const std::string& payload);
  void lost(const std::string& label);

  double liveness_interval() const { return kLivenessReports * ctx_.settings.platform.report_s; }
  // From now on in envelopes of this version, which older processes do not take.
  void speak(int version) { version_ = version; }
  // This process stood still for so long: that time is nobody's silence.
  void paused(double for_s) {
    for (auto& [label, p] : peers_) p.last_heard += for_s;
  }

  // What the state holds of the others' liveness records.
  void see(const store::Replica& replica);
  // The controllers that a liveness record is owed to: heard until lately, and not now; or not
  // hearing us.
  std::vector<std::string> owed(const store::Replica& replica) const;

  bool alive(const std::string& label) const;
  bool heard(const std::string& label) const;  // over its own connection
  int live() const;                            // with this one
  double last_heard_any() const;
  // Of all other controllers in the settings, sorted.
  const std::vector<std::string>& labels() const { return labels_; }
  // Whether one that said it leads was heard in the last so many seconds.
  bool leader_heard_within(double seconds) const;
  std::map<std::string, Peer>& all() { return peers_; }
  const Peer* find(const std::string& label) const {
    auto it = peers_.find(label);
    return it == peers_.end() ? nullptr : &it->second;
  }
  double silence() const {
    return ctx_.settings.operators.peer_silence_reports * ctx_.settings.platform.report_s;
  }

 private:
  static constexpr double kLivenessReports = 0.4;  // between two liveness records
  static constexpr double kLivenessPatience =
      2.5;  // pauses after the last one that a peer counts as alive

  runtime::Context& ctx_;
  std::map<std::string, Peer> peers_;
  std::vector<std::string> labels_;
  uint64_t seq_ = 0;
  int version_ = model::kFirstVersion;
  bool liveness_known_ = false;
};

}  // namespace rooksill::membership
