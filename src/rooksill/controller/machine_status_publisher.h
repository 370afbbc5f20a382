// Publishes the status of the machines in this controller's partitions to the leader.
#pragma once

#include <string>
#include <vector>

#include "rooksill/leader/machine_status_table.h"
#include "rooksill/membership/peers.h"
#include "rooksill/model/coordination.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::controller {

// Sends a new leader the status of all machines, and from then on only changes. Because messages
// may be lost, the partition owner includes some of the unchanged statuses each time.
class MachineStatusPublisher {
 public:
  MachineStatusPublisher(const runtime::Context& context, const store::Replica& replica,
                         membership::Peers& peers, partition::PartitionOwner& owner,
                         leader::MachineStatusTable& table)
      : context_(context), replica_(replica), peers_(peers), owner_(owner), table_(table) {}

  // Sends the statuses to the leader, or records them directly in the table if this controller
  // leads. Does nothing while there is no leader.
  void publish();
  // Handles the loss of the connection to the controller `label`. If it is the leader, messages to
  // it may have been lost, so all statuses are sent again.
  void handle_connection_loss(const std::string& label);

 private:
  // Sends the statuses to the controller `leader`, split into messages of limited size.
  void send(const std::string& leader, std::vector<wire::MachineStatus> statuses);

  const runtime::Context& context_;
  const store::Replica& replica_;
  membership::Peers& peers_;
  partition::PartitionOwner& owner_;
  leader::MachineStatusTable& table_;
  model::Leadership published_to_;  // the leader that has been sent all statuses
};

}  // namespace rooksill::controller
