// What was cancelled, between controllers. Each process numbers the cancellations that it learns of
// and sends them to the others; these say how far they have them. From that each knows up to which
// moment no cancellation that was confirmed to a user can be unknown to it. The argument is in
// docs/safety.md.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "rooksill/membership/peers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::membership {

// Times are seconds of this process's steady clock if nothing else is said.
class Cancellations {
 public:
  Cancellations(runtime::Context& context, store::Replica& replica, Peers& peers)
      : context_(context), replica_(replica), peers_(peers) {}

  // Numbers what the replica has learned. Has to come before anything is said to peers or users.
  void collect();
  // Sends peers the cancellations that they lack: new ones at once, and again after a while what
  // they have not confirmed.
  void send_updates();
  // Adds how many cancellations this process knows, and how far it has those of each peer.
  void add_to_heartbeat(wire::ControllerHeartbeat& heartbeat) const;

  void receive(const std::string& label, const wire::CancelledJobs& message);
  void receive(const std::string& label, const wire::ControllerHeartbeat& heartbeat);

  // Every cancellation that any controller confirmed to a user before this moment is in the
  // replica.
  double known_at() const;

 private:
  // How many cancellations a peer said it knew, and when that was received.
  struct CountSample {
    double received_at = 0;
    uint64_t count = 0;
  };
  // Of one peer's process. Says nothing about another process of the same controller.
  struct PeerProgress {
    uint64_t incarnation = 0;
    std::optional<double> ready_at;   // when it was first heard to know the store
    double last_sent_at = kNever;     // by its clock, of the latest of its heartbeats received
    uint64_t announced = 0;           // how many cancellations it knew by then
    uint64_t received = 0;            // all of its cancellations up to this number are known here
    std::deque<CountSample> samples;  // not yet covered by an answer of the store
    uint64_t confirmed = 0;           // up to this number it has ours
    uint64_t sent = 0;                // up to this number ours were sent to it
    double next_resend = kNever;
  };

  PeerProgress& progress_of(const std::string& label);
  uint64_t learned_count() const { return first_ - 1 + learned_.size(); }
  void send_from(uint64_t first, const std::string& label, PeerProgress& progress);
  void record_count(uint64_t count, PeerProgress& progress) const;
  void credit_what_store_covers(PeerProgress& progress) const;
  void confirm(const std::string& label, const wire::CancellationAck& ack, uint64_t announced,
               PeerProgress& progress);

  runtime::Context& context_;
  store::Replica& replica_;
  Peers& peers_;
  std::deque<std::string> learned_;  // jobs; those numbered first_ and up
  uint64_t first_ = 1;
  bool was_synced_ = false;
  std::map<std::string, PeerProgress> progress_;  // by peer
  // By peer: everything that it confirmed to a user before this moment is known here. Stays true
  // whatever becomes of the peer.
  std::map<std::string, double> confirmed_at_;
};

}  // namespace rooksill::membership
