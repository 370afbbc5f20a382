// The deterministic core of a controller: commands and the time in, effects out. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/api/user_requests.h"
#include "rooksill/fleet/fleet.h"
#include "rooksill/leader/leader.h"
#include "rooksill/membership/cancellations.h"
#include "rooksill/membership/peers.h"
#include "rooksill/membership/upgrade.h"
#include "rooksill/model/coordination.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/store/replica_sync.h"

namespace rooksill::controller {

class Controller {
 public:
  // `wall` at the start becomes part of the incarnation.
  Controller(const Settings& settings, uint64_t seed, double wall, bool debug);

  // Works through a batch; what is to be done outside is then in effects().
  void run(const std::vector<runtime::Command>& batch, runtime::Time now);
  runtime::Effects& effects() { return ctx_.out; }

  static constexpr double kTick = 0.05;  // longest pause between two batches

  bool ready() const;
  bool leading() const { return leader_.leading(); }
  const store::Replica& replica() const { return replica_; }

 private:
  void on_request(const runtime::Request& r);
  void on_peer(const runtime::PeerMessage& m);
  void detect_pause(runtime::Time now);
  void tick();
  void write_liveness_record();
  void status_from_store();
  bool store_answers() const;
  void send_heartbeat();
  void log_counters();
  void publish_statuses();
  void take_statuses(const std::string& label, std::vector<wire::MachineStatus> machines);
  void forget_statuses();

  runtime::Context ctx_;
  store::Replica replica_;
  store::Client client_;
  store::Committer committer_;
  store::ReplicaSync replica_sync_;
  membership::Peers peers_;
  membership::Upgrade upgrade_;
  membership::Cancellations cancellations_;
  partition::PartitionOwner owner_;
  fleet::Fleet fleet_;
  leader::Leader leader_;
  api::UserRequests user_requests_;
  // What owners say of their machines; gathered by the leader.
  wire::MachineStatusMap statuses_;
  std::unordered_map<std::string, std::string> published_by_;  // machine -> label
  model::Leadership published_to_;  // the leader that all views of this node were told to
  double next_heartbeat_ = 0, next_leader_ = 0, next_timeout_check_ = 0, next_counts_ = 0;
  double next_liveness_write_ = 0, next_store_statuses_ = 0;
};

}  // namespace rooksill::controller
