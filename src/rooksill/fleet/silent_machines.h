// When machines that do not answer are released, and which zones are cut off.
#pragma once

#include <array>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "rooksill/core/context.h"
#include "rooksill/core/replica.h"
#include "rooksill/net/peer_codec.h"

namespace rooksill::cloud {

// Zones whose machines do not answer: the holder of a block, or most holders.
struct UnreachableZones {
  std::set<std::pair<int, std::string>> to_holder;
  std::set<std::string> to_most;
};

// The leader's judgement on silent machines. A single one is released at once; of many with
// replicas a part at a time; those of a zone that is cut off are kept at least for their leases.
class SilentMachines {
 public:
  SilentMachines(core::Context& ctx, const core::Replica& replica) : ctx_(ctx), replica_(replica) {}

  void start_term() { cut_off_until_.clear(); }
  // Takes in what holders say now. Before the questions below, with each tick.
  void observe(const net::ViewMap& views, const UnreachableZones& unreachable);
  // Whether nothing is to be rented in the zone.
  bool cut_off(const std::string& zone) const;
  // Whether a silent machine may be released now. A yes uses up what it was given for: room
  // elsewhere for its tasks, or its turn among machines with replicas.
  bool may_release(const core::Machine& machine);

 private:
  void judge_zones(const net::ViewMap& views, const std::set<std::string>& unreachable);
  void sum_room(const net::ViewMap& views);
  bool lease_over_and_may_leave(const core::Machine& machine, double silent_for);
  bool take_room_elsewhere(const core::MachineLoad& load);
  bool replica_fits_elsewhere(const core::Machine& machine) const;
  bool take_turn(double silent_for);

  core::Context& ctx_;
  const core::Replica& replica_;
  std::map<std::string, double> cut_off_until_;                  // by zone
  std::map<std::string, double> silent_since_;                   // by machine
  std::set<std::pair<int, std::string>> unreachable_to_holder_;  // block and zone
  // On machines that are heard: cores that are free, and in use by priority.
  double room_elsewhere_ = 0, next_room_ = 0;
  std::array<double, 4> lower_elsewhere_{};
  double next_turn_ = 0;  // of machines with replicas
  int turn_left_ = 0;     // how many more may be released before that
};

}  // namespace rooksill::cloud
