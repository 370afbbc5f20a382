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
  std::set<std::string> to_most;     // they do not answer most owners
};

// Decides which silent machines are released, and when. A single one is released at once; of many
// with replicas a part at a time; those of a zone that is cut off are kept at least until their
// leases are over, as work goes on there till then.
class SilentMachines {
 public:
  SilentMachines(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  void start_term() { cut_off_until_.clear(); }

  // Takes in what the owners report now. Called with each tick, before the questions below.
  void update(const wire::MachineStatusMap& statuses, const UnreachableZones& unreachable);

  // Whether nothing is to be rented in the zone.
  bool is_cut_off(const std::string& zone) const;

  // Whether the silent machine may be released now. True claims what the release takes: space
  // elsewhere for its tasks, or a place in the present batch of machines with replicas. The next
  // machine finds only what is left of these.
  [[nodiscard]] bool claim_release(const model::Machine& machine);

 private:
  struct ZoneCount {
    int silent = 0;  // or late with their boot
    int all = 0;
  };

  std::map<std::string, ZoneCount> count_by_zone(const wire::MachineStatusMap& statuses) const;
  void update_cut_off_zones(const wire::MachineStatusMap& statuses,
                            const std::set<std::string>& unreachable_to_most);
  void update_space(const wire::MachineStatusMap& statuses);
  bool claim_release_in_cut_off_zone(const model::Machine& machine, double silent_s);
  bool claim_space_for(const store::MachineLoad& load);
  bool replica_fits_elsewhere(const model::Machine& machine) const;
  bool fits_other_zone(const model::Job& job, const std::string& zone) const;
  bool claim_place_in_batch(double silent_s);

  runtime::Context& context_;
  const store::Replica& replica_;
  std::set<PartitionZone> unreachable_to_owner_;
  std::map<std::string, double> cut_off_until_;  // by zone, steady clock
  std::map<std::string, double> silent_since_;   // by machine, steady clock
  // On machines that are heard: CPUs that are free, and in use by the tasks' priority.
  double free_cpus_ = 0;
  std::array<double, model::kPriorityCount> used_cpus_{};
  double next_space_update_ = 0;  // steady clock
  double next_batch_ = 0;         // steady clock
  int left_in_batch_ = 0;         // machines with replicas that may still be released
};

}  // namespace rooksill::fleet
