// Machine statuses reported by the partition owners, collected for the leader.
#pragma once

#include <string>
#include <vector>

#include "rooksill/membership/peers.h"
#include "rooksill/model/machine.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::leader {

// Holds the latest status of each machine. A machine has an entry only if the current owner of its
// partition published one, or if that owner is alive but unreachable, in which case the status is
// derived from the store. Every controller keeps the table, so that a new leader has the statuses
// it received while it was being elected.
class MachineStatusTable {
 public:
  MachineStatusTable(const runtime::Context& context, const store::Replica& replica,
                     const membership::Peers& peers)
      : context_(context), replica_(replica), peers_(peers) {}

  // Stores the statuses that `publisher` sent for machines in its own partitions. Statuses of other
  // machines are dropped, because only the partition owner is authoritative for its machines.
  void record(const std::string& publisher, std::vector<wire::MachineStatus> machines);

  // Removes the entries of machines that no longer exist and those published by a former owner.
  void remove_stale();

  // Derives statuses from the store for machines whose owner is alive but unreachable. Called only
  // on the leader.
  void derive_from_store();

  // Returns the statuses by machine name.
  const wire::MachineStatusMap& statuses() const { return statuses_; }

 private:
  // Returns whether the machine is listed in a partition owned by the controller `label`.
  bool owns_machine(const std::string& label, const std::string& machine) const;
  void derive_status(const std::string& owner, const std::vector<std::string>& unreachable,
                     const model::Machine& machine);

  const runtime::Context& context_;
  const store::Replica& replica_;
  const membership::Peers& peers_;
  wire::MachineStatusMap statuses_;  // by machine name
};

}  // namespace rooksill::leader
