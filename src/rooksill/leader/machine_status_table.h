// What the owners of partitions say of their machines, gathered for the leader.
#pragma once

#include <string>
#include <vector>

#include "rooksill/membership/peers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::leader {

// The table has an entry for a machine only if the present owner of its partition published one, or
// if that owner is alive and cannot be heard. Every controller keeps the table, so that a
// controller which becomes leader has what it was sent while it was elected.
class MachineStatusTable {
 public:
  MachineStatusTable(const runtime::Context& context, const store::Replica& replica,
                     const membership::Peers& peers)
      : context_(context), replica_(replica), peers_(peers) {}

  // Takes what `publisher` says of machines in its partitions. The rest is dropped: only a
  // partition's owner speaks for its machines.
  void record(const std::string& publisher, std::vector<wire::MachineStatus> machines);

  // Drops entries of machines that are gone and those published by a former owner.
  void remove_stale();

  // Fills in what the store says of machines whose owner is alive and cannot be heard. Only for the
  // leader.
  void derive_from_store();

  const wire::MachineStatusMap& statuses() const { return statuses_; }

 private:
  // Whether the machine is listed in a partition that this controller owns.
  bool owns_machine(const std::string& label, const std::string& machine) const;
  void derive_status(const std::string& owner, const std::vector<std::string>& unreachable,
                     const std::string& machine);

  const runtime::Context& context_;
  const store::Replica& replica_;
  const membership::Peers& peers_;
  wire::MachineStatusMap statuses_;  // by machine
};

}  // namespace rooksill::leader
