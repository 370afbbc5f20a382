// Sends heartbeats with the state of this controller to the other controllers.
#pragma once

#include "rooksill/leader/leader.h"
#include "rooksill/membership/cancellations.h"
#include "rooksill/membership/peers.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/interval_timer.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::controller {

// Sends heartbeats over peer connections and, for controllers without a working connection, writes
// liveness records into the store.
class HeartbeatSender {
 public:
  HeartbeatSender(runtime::Context& context, const store::Replica& replica,
                  const store::Client& client, store::Committer& committer,
                  membership::Peers& peers, const membership::Cancellations& cancellations,
                  partition::PartitionOwner& owner, const leader::Leader& leader)
      : context_(context),
        replica_(replica),
        client_(client),
        committer_(committer),
        peers_(peers),
        cancellations_(cancellations),
        owner_(owner),
        leader_(leader) {}

  // Broadcasts a heartbeat to all other controllers over their connections.
  void send_heartbeat();
  // Writes a liveness record into the store if some controller cannot be reached over its
  // connection, at most once per Peers::liveness_record_interval_s().
  void write_liveness_record();

 private:
  // Returns whether the last call to the store succeeded or the store has answered recently.
  bool is_store_responding() const;

  runtime::Context& context_;
  const store::Replica& replica_;
  const store::Client& client_;
  store::Committer& committer_;
  membership::Peers& peers_;
  const membership::Cancellations& cancellations_;
  partition::PartitionOwner& owner_;
  const leader::Leader& leader_;
  runtime::IntervalTimer liveness_timer_;
};

}  // namespace rooksill::controller
