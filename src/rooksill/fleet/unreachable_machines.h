// When machines that do not answer are released, and which zones are cut off.
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

// Zones whose machines do not answer.
struct UnreachableZones {
  std::set<PartitionZone> to_owner;  // those of a partition do not answer its owner
  std::set<std::string> to_most_owners;     // they do not answer most owners
};

// Decides which silent machines are released, and when. A single one is released at once; of many
// with replicas a part at a time; those of a zone that is cut off are kept at least until their
// leases are over, as work goes on there till then.
class UnreachableMachines {
 public:
  UnreachableMachines(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  void start_term() { isolated_until_.clear(); }

  // Takes in what the owners report now. Called with each tick, before the questions below.
  void update(const wire::MachineStatusMap& statuses, const UnreachableZones& unreachable);

  // Whether nothing is to be rented in the zone.
  bool is_isolated(const std::string& zone) const;

  // Whether the silent machine may be released now. True claims what the release takes: space
  // elsewhere for its tasks, or a place in the present batch of machines with replicas. The next
  // machine finds only what is left of these.
  [[nodiscard]] bool claim_release(const model::Machine& machine);

 private:
  struct ZoneCount {
    int unreachable = 0;  // or late with their boot
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
  std::map<std::string, double> isolated_until_;  // by zone, steady clock
  std::map<std::string, double> unreachable_since_;   // by machine, steady clock
  // On machines that are heard: CPUs that are free, and in use by the tasks' priority.
  double free_cpus_ = 0;
  std::array<double, model::kPriorities> used_cpus_by_priority_{};
  double next_capacity_update_at_ = 0;  // steady clock
  double next_batch_at_ = 0;         // steady clock
  int remaining_in_batch_ = 0;         // machines with replicas that may still be released
};

}  // namespace rooksill::fleet
