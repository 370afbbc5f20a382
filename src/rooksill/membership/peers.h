// The other controllers of the cluster: messages to and from them, and failure detection.
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

// The known state of the process that runs as another controller. Times are seconds of this
// process's steady clock.
struct Peer {
  uint64_t incarnation = 0;    // 0: no message or liveness record was received yet
  uint64_t last_sequence = 0;  // sequence number of its last message
  int envelope_version = 0;    // version of its last envelope
  // When its last message was received; adjusted by handle_connection_loss() and extend_timeouts().
  double last_received_at = kNever;
  // When its present period of being alive without interruption, in one process, began.
  double alive_since = 0;
  // When its last liveness record that is addressed to this controller was read from the store.
  double liveness_record_seen_at = kNever;
  // Revision of its newest liveness record, whomever it is addressed to.
  model::Revision liveness_record_revision = model::kNoRevision;
  // Its last heartbeat; some fields come from its liveness record while it is not reachable.
  wire::ControllerHeartbeat heartbeat;
};

// Tracks the state of the other controllers in the settings. A peer is reachable while messages
// arrive over its own connections. It is alive if it is reachable or, where connections fail, while
// it renews its liveness record in the store. All of this is soft state: safety does not depend on
// it.
class Peers {
 public:
  explicit Peers(runtime::Context& context);

  // Decodes a message and records its sender as reachable. Returns nothing if the message is
  // malformed, has an unsupported version, comes from a controller that is not in the settings, or
  // is not newer than the last message received from that controller.
  std::optional<wire::Envelope> receive(const std::string& bytes);
  // Stores the heartbeat from a received envelope. `label` is the envelope's.
  void record_heartbeat(const std::string& label, wire::ControllerHeartbeat heartbeat);
  // Sends a packed message of the given kind to one peer. The message may be lost.
  void send(const std::string& label, wire::PeerMessageKind kind, const std::string& payload);
  // Sends a packed message of the given kind to every peer.
  void broadcast(wire::PeerMessageKind kind, const std::string& payload);
  // Sets the version of the envelopes sent from now on. Processes of older versions reject
  // envelopes of a newer one.
  void set_envelope_version(int version) { envelope_version_ = version; }

  // Shortens the peer's timeout after an established connection to it ended.
  void handle_connection_loss(const std::string& label);
  // Extends all timeouts by the length of a pause of this process, during which it could not
  // receive messages.
  void extend_timeouts(double pause_s);

  // Reads the peers' liveness records that are new in the replica.
  void read_liveness_records(const store::Replica& replica);
  // Returns the labels of the peers that this process should write a liveness record for: those
  // that were in contact recently and are becoming unreachable, and those that addressed a recent
  // liveness record to this controller. Empty if no record is due.
  std::vector<std::string> liveness_recipients(const store::Replica& replica) const;
  // Returns the interval between two liveness records of one controller.
  double liveness_record_interval_s() const;

  // Returns the labels of all other controllers in the settings, sorted.
  const std::vector<std::string>& labels() const { return labels_; }
  // Returns the peer's state, or null if the settings have no other controller with this label.
  const Peer* find(const std::string& label) const;
  // Returns whether the peer is reachable or has written a recent liveness record.
  bool is_alive(const std::string& label) const;
  // Returns whether a message from the peer was received within the timeout.
  bool is_reachable(const std::string& label) const;
  // Returns how many controllers are alive, this one included.
  int live_controller_count() const;
  // Returns when the last message or liveness record of any peer was received, or kNever.
  double last_contact_at() const;
  // Returns whether a peer whose last heartbeat claimed leadership sent a message in the last
  // `seconds`.
  bool has_leader_message_within(double seconds) const;
  // Returns the time without a message after which a peer counts as unreachable.
  double unreachable_timeout_s() const;

 private:
  void read_liveness_record(const std::string& label, const model::LivenessRecord& record,
                            Peer& peer);
  bool has_recent_liveness_record(const Peer& peer) const;
  bool is_liveness_record_needed(const std::string& label, const Peer& peer,
                                 const store::Replica& replica) const;
  bool is_addressed_to_self(const model::LivenessRecord& record) const;

  runtime::Context& context_;
  std::map<std::string, Peer> peers_;  // by label; the labels never change
  std::vector<std::string> labels_;
  uint64_t last_sequence_ = 0;  // of the messages that this process sent
  int envelope_version_ = model::kFirstVersion;
  bool has_read_liveness_records_ = false;  // at least once
};

}  // namespace rooksill::membership
