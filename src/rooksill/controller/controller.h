// The deterministic core of a controller: commands and the time in, effects out. No I/O.
#pragma once

#include "rooksill/api/users.h"
#include "rooksill/cloud/fleet.h"
#include "rooksill/core/cancellations.h"
#include "rooksill/core/context.h"
#include "rooksill/core/holder.h"
#include "rooksill/core/leader.h"
#include "rooksill/core/peers.h"
#include "rooksill/core/replica.h"
#include "rooksill/core/upgrade.h"
#include "rooksill/state/client.h"
#include "rooksill/state/committer.h"
#include "rooksill/state/syncer.h"

namespace rooksill::core {

class Core {
 public:
  // `wall` at the start becomes part of the incarnation.
  Core(const Settings& settings, uint64_t seed, double wall, bool debug);

  // Works through a batch; what is to be done outside is then in effects().
  void run(const std::vector<Command>& batch, Time now);
  Effects& effects() { return ctx_.out; }

  static constexpr double kTick = 0.05;  // longest pause between two batches

  bool ready() const;
  bool leading() const { return leader_.leading(); }
  const Replica& replica() const { return replica_; }

 private:
  void on_request(const Request& r);
  void on_peer(const PeerMessage& m);
  void note_pause(Time now);
  void tick();
  void leave_life_sign();
  void view_from_state();
  bool state_answers() const;
  void send_beat();
  void tell_counts();
  void tell_views();
  void take_views(const std::string& label, std::vector<net::MachineView> machines);
  void forget_views();

  Context ctx_;
  Replica replica_;
  state::Client client_;
  state::Committer committer_;
  state::Syncer syncer_;
  Peers peers_;
  Upgrade upgrade_;
  Cancellations cancellations_;
  Holder holder_;
  cloud::Fleet fleet_;
  Leader leader_;
  api::Users users_;
  // What holders say of their machines; gathered by the leader.
  net::ViewMap views_;
  std::unordered_map<std::string, std::string> told_by_;  // machine -> label
  Leadership told_to_;  // the leader that all views of this node were told to
  double next_beat_ = 0, next_leader_ = 0, next_scan_ = 0, next_counts_ = 0;
  double next_sign_ = 0, next_state_views_ = 0;
};

}  // namespace rooksill::core
