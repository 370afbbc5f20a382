// When machines that do not answer are released, and which zones are cut off.
#pragma once

#include <array>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "rooksill/model/machine.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// Zones whose machines do not answer: the owner of a partition, or most owners.
struct UnreachableZones {
  std::set<std::pair<int, std::string>> to_owner;
  std::set<std::string> to_most;
};

// The leader's judgement on silent machines. A single one is released at once; of many with
// replicas a part at a time; those of a zone that is cut off are kept at least for their leases.
class SilentMachines {
 public:
  SilentMachines(runtime::Context& ctx, const store::Replica& replica)
      : ctx_(ctx), replica_(replica) {}

  void start_term() { cut_off_until_.clear(); }
  // Takes in what owners say now. Before the questions below, with each tick.
  void observe(const wire::MachineStatusMap& statuses, const UnreachableZones& unreachable);
  // Whether nothing is to be rented in the zone.
  bool cut_off(const std::string& zone) const;
  // Whether a silent machine may be released now. A yes uses up what it was given for: room
  // elsewhere for its tasks, or its turn among machines with replicas.
  bool may_release(const model::Machine& machine);

 private:
  void judge_zones(const wire::MachineStatusMap& statuses,
                   const std::set<std::string>& unreachable);
  void sum_room(const wire::MachineStatusMap& statuses);
  bool lease_over_and_may_leave(const model::Machine& machine, double silent_for);
  bool take_room_elsewhere(const store::MachineLoad& load);
  bool replica_fits_elsewhere(const model::Machine& machine) const;
  bool take_turn(double silent_for);

  runtime::Context& ctx_;
  const store::Replica& replica_;
  std::map<std::string, double> cut_off_until_;                 // by zone
  std::map<std::string, double> silent_since_;                  // by machine
  std::set<std::pair<int, std::string>> unreachable_to_owner_;  // partition and zone
  // On machines that are heard: cores that are free, and in use by priority.
  double room_elsewhere_ = 0, next_room_ = 0;
  std::array<double, 4> lower_elsewhere_{};
  double next_turn_ = 0;  // of machines with replicas
  int turn_left_ = 0;     // how many more may be released before that
};

}  // namespace rooksill::fleet
