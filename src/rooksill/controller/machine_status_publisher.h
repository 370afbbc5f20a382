// Tells the leader about the machines in this controller's partitions.
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

// A new leader is told about all machines, and from then on what changes. Messages may be lost: the
// owner repeats some of the unchanged statuses each time.
class MachineStatusPublisher {
 public:
  MachineStatusPublisher(const runtime::Context& context, const store::Replica& replica,
                         membership::Peers& peers, partition::PartitionOwner& owner,
                         leader::MachineStatusTable& table)
      : context_(context), replica_(replica), peers_(peers), owner_(owner), table_(table) {}

  // To a leader in another process as messages; to one in this process straight into the table.
  void publish();
  // What was sent to this controller may not have arrived: all of it is sent again.
  void on_connection_lost(const std::string& label);

 private:
  void send(const std::string& leader, std::vector<wire::MachineStatus> statuses);

  const runtime::Context& context_;
  const store::Replica& replica_;
  membership::Peers& peers_;
  partition::PartitionOwner& owner_;
  leader::MachineStatusTable& table_;
  model::Leadership published_to_;  // the leader that was told about all machines
};

}  // namespace rooksill::controller
