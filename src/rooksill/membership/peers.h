// The other controllers: messages to and from them, and which of them are alive.
#pragma once

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

// Earlier than every time of the steady clock.
inline constexpr double kNever = -1e9;

// What is known of the process that runs as another controller. Times are seconds of this process's
// steady clock.
struct Peer {
  uint64_t incarnation = 0;  // 0: none was heard
  uint64_t sequence = 0;     // of its last message
  int version = 0;           // of its last envelope
  double last_heard = kNever;
  double first_heard = 0;  // after a silence, or since its process started
  // When its last liveness record that is meant for us was seen in the store.
  double liveness_seen_at = kNever;
  model::Revision liveness_revision = model::kNoRevision;  // of its last record known
  wire::ControllerHeartbeat heartbeat;
};

// Owns what is known of the other controllers in the settings. A peer is heard while messages come
// over its own connections; it is alive if it is heard or, where connections fail, while it renews
// its liveness record in the store. All of it is soft state: nothing here is relied on for safety.
class Peers {
 public:
  explicit Peers(runtime::Context& context);

  // Nothing if the message is malformed, from no controller in the settings, or older than what was
  // heard.
  std::optional<wire::Envelope> receive(const std::string& bytes);
  // What a message of that kind said. `label`: of an envelope that was received.
  void record_heartbeat(const std::string& label, wire::ControllerHeartbeat heartbeat);
  void send(const std::string& label, wire::PeerMessageKind kind, const std::string& payload);
  void broadcast(wire::PeerMessageKind kind, const std::string& payload);
  // From now on messages go out in envelopes of this version, which older processes do not take.
  void set_envelope_version(int version) { envelope_version_ = version; }

  // A connection to the peer ended or was refused.
  void connection_lost(const std::string& label);
  // This process stood still for so many seconds: that time is nobody's silence.
  void discount_pause(double pause_s);

  // Takes up the liveness records of others that are new in the store.
  void read_liveness_records(const store::Replica& replica);
  // Whom this process should leave a liveness record for: those that were heard until lately and
  // are not now, and those that do not hear us.
  std::vector<std::string> liveness_recipients(const store::Replica& replica) const;
  // Seconds between two liveness records of one controller.
  double liveness_interval() const;

  // Of all other controllers in the settings, sorted.
  const std::vector<std::string>& labels() const { return labels_; }
  // Null if the settings have no such other controller.
  const Peer* find(const std::string& label) const;
  bool alive(const std::string& label) const;
  bool heard(const std::string& label) const;
  // How many controllers are alive, this one included.
  int live_controllers() const;
  // When any other controller last showed that it is alive.
  double last_heard_any() const;
  // Whether one that said it leads was heard in the last so many seconds.
  bool leader_heard_within(double seconds) const;
  // Seconds without a message after which a peer counts as not heard.
  double silence() const;

 private:
  void read_liveness_record(const std::string& label, const model::LivenessRecord& record,
                            Peer& peer);
  bool has_recent_liveness_record(const Peer& peer) const;
  bool asks_for_liveness_record(const std::string& label, const Peer& peer,
                                const store::Replica& replica) const;
  bool is_meant_for_us(const model::LivenessRecord& record) const;

  runtime::Context& context_;
  std::map<std::string, Peer> peers_;  // by label; the labels never change
  std::vector<std::string> labels_;
  uint64_t last_sequence_ = 0;
  int envelope_version_ = model::kFirstVersion;
  bool liveness_records_read_ = false;  // at least once
};

}  // namespace rooksill::membership
