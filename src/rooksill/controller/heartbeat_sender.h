// Tells the other controllers that this one is alive, and what it knows of itself.
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

  // Sends a heartbeat to all other controllers over their connections.
  void send_heartbeat();
  // For controllers that no connection reaches: writes a liveness record into the store, at most
  // once per Peers::liveness_interval(), and only while there is such a controller.
  void write_liveness_record();

 private:
  // Whether the store has answered this controller until lately.
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
