// Release of unreachable machines, and detection of isolated zones.
#pragma once

#include <array>
#include <compare>
#include <map>
#include <set>
#include <string>

#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// A partition's machines in one zone.
struct PartitionZone {
  int partition = 0;
  std::string zone;
  auto operator<=>(const PartitionZone&) const = default;
};

// Zones whose machines cannot be reached by partition owners.
struct UnreachableZones {
  std::set<PartitionZone> to_owner;      // unreachable to the partition's owner
  std::set<std::string> to_most_owners;  // unreachable to most partition owners
};

// Decides which unreachable machines are released, and when. A single machine is released at once.
// Many machines with service replicas are released in batches. Machines of an isolated zone, one
// that the controllers cannot reach as a whole, are kept at least until their leases expire,
// because their tasks run until then.
class UnreachableMachines {
 public:
  UnreachableMachines(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  // Clears the isolated zones recorded in a former term.
  void start_term() { isolated_until_.clear(); }

  // Processes the owners' current reports. Must be called on each tick before the functions below.
  void update(const wire::MachineStatusMap& statuses, const UnreachableZones& unreachable);

  // Returns whether the zone is isolated; no machines are rented in an isolated zone.
  bool is_isolated(const std::string& zone) const;

  // Returns whether the unreachable machine may be released now. If so, reserves what the release
  // needs: capacity elsewhere for its tasks, or a slot in the current batch of machines with
  // replicas. Later calls see only the remainder.
  [[nodiscard]] bool claim_release(const model::Machine& machine);

 private:
  // Machines of a zone, without those that are booting and not overdue.
  struct ZoneCount {
    int unreachable = 0;  // or overdue to boot
    int total = 0;
  };

  std::map<std::string, ZoneCount> count_by_zone(const wire::MachineStatusMap& statuses) const;
  void update_isolated_zones(const wire::MachineStatusMap& statuses,
                             const std::set<std::string>& unreachable_to_most_owners);
  void update_capacity(const wire::MachineStatusMap& statuses);
  bool claim_release_in_isolated_zone(const model::Machine& machine, double unreachable_s);
  bool claim_capacity_for(const store::MachineLoad& load);
  bool replica_fits_elsewhere(const model::Machine& machine) const;
  bool has_other_zone_for(const model::Job& job, const std::string& zone) const;
  bool claim_batch_slot(double unreachable_s);

  runtime::Context& context_;
  const store::Replica& replica_;
  std::set<PartitionZone> unreachable_to_owner_;
  std::map<std::string, double> isolated_until_;     // by zone, steady clock
  std::map<std::string, double> unreachable_since_;  // by machine, steady clock
  // Free CPUs, and used CPUs by the priority of the tasks, on all reachable machines.
  double free_cpus_ = 0;
  std::array<double, model::kPriorityCount> used_cpus_by_priority_{};
  double next_capacity_update_at_ = 0;  // steady clock
  double next_batch_at_ = 0;            // steady clock
  int remaining_in_batch_ = 0;          // machines that the current batch may still release
};

}  // namespace rooksill::fleet
