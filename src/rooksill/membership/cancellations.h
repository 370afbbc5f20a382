// Propagation of job cancellations between controllers. Each process numbers the cancellations that
// it learns of, sends them to its peers, and acknowledges in its heartbeats how many of each peer's
// it has received. From the acknowledgements every process computes a time before which no
// cancellation confirmed to a user can be missing from its replica. The proof is in docs/safety.md.
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

// Sends this process's cancellations to the peers and tracks which of theirs it has received.
// Times are seconds of this process's steady clock unless stated otherwise.
class Cancellations {
 public:
  Cancellations(runtime::Context& context, store::Replica& replica, Peers& peers)
      : context_(context), replica_(replica), peers_(peers) {}

  // Numbers the cancellations that the replica has learned since the last call. Must be called
  // before anything is sent to peers or users in the same batch.
  void collect();
  // Sends each reachable peer the cancellations that it lacks: new ones immediately, and those
  // already sent again if it has not acknowledged them within the resend interval.
  void send_updates();
  // Adds the number of cancellations that this process knows and its acknowledgement to each peer.
  void add_to_heartbeat(wire::ControllerHeartbeat& heartbeat) const;

  // Records a peer's cancellations in the replica. `label` is the sender's.
  void receive(const std::string& label, const wire::CancelledJobs& message);
  // Processes the number of cancellations and the acknowledgements in a peer's heartbeat. `label`
  // is the sender's.
  void receive(const std::string& label, const wire::ControllerHeartbeat& heartbeat);

  // Returns the time before which the replica is complete: it has every cancellation that any
  // controller confirmed to a user earlier.
  double complete_until() const;

 private:
  // The number of cancellations that a peer announced, and when the announcement was received.
  struct CountSample {
    double received_at = 0;
    uint64_t count = 0;
  };
  // The state of the exchange with one process of a peer. Reset when another process of the same
  // controller takes over. Cancellations are identified by the numbers of the process that sends
  // them.
  struct PeerProgress {
    uint64_t incarnation = 0;
    std::optional<double> ready_at;  // when it first reported that it has a replica of the store
    // When the latest of its received heartbeats was sent, by the peer's clock.
    double last_heartbeat_sent_at = kNever;
    uint64_t announced_count = 0;  // the highest count of its cancellations that it announced
    uint64_t received_up_to = 0;   // all of its cancellations up to this number are known here
    std::deque<CountSample> count_samples;  // received after the replica was last in sync
    uint64_t acknowledged_up_to = 0;        // it has all of this process's up to this number
    uint64_t sent_up_to = 0;                // this process's up to this number were sent to it
    double next_resend_at = kNever;
  };

  // Returns the state for the peer's present process, which is reset if the process is new.
  PeerProgress& progress_of(const std::string& label);
  // Returns how many cancellations this process has numbered, those no longer kept included.
  uint64_t learned_count() const { return first_kept_ - 1 + kept_jobs_.size(); }
  void send_from(uint64_t first, const std::string& label, PeerProgress& progress);
  void record_announced_count(uint64_t count, PeerProgress& progress) const;
  void apply_store_sync(PeerProgress& progress) const;
  // `announced_count`: the count in the heartbeat that carries the acknowledgement.
  void process_ack(const std::string& label, const wire::CancellationAck& ack,
                   uint64_t announced_count, PeerProgress& progress);

  runtime::Context& context_;
  store::Replica& replica_;
  Peers& peers_;
  std::deque<std::string> kept_jobs_;  // ids of cancelled jobs, numbered from first_kept_
  uint64_t first_kept_ = 1;
  bool was_synced_ = false;                       // the replica, at the last collect()
  std::map<std::string, PeerProgress> progress_;  // by the peer's label
  // By the peer's label: every cancellation that the peer confirmed to a user before this time is
  // known here. Remains true when the peer restarts or becomes unreachable.
  std::map<std::string, double> confirmed_until_;
};

}  // namespace rooksill::membership
