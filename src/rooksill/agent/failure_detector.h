// Which workers are out of reach.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "rooksill/agent/self_check.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/agent/zone_monitor.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::agent {

// Probes workers that have not been heard for a while, and marks those as silent that stay out of
// reach: the leader returns such machines and rents others. Where it is not single workers that are
// out of reach, it tells a cut zone and a cut of this controller itself apart from them.
class FailureDetector {
 public:
  // Takes the heartbeat that a probe is answered with.
  using HeartbeatHandler = std::function<void(Worker&, const wire::WorkerHeartbeat&)>;

  FailureDetector(runtime::Context& context, const store::Replica& replica, WorkerTable& workers,
                  HeartbeatHandler on_heartbeat);

  // Sends the probes that are due and judges every worker anew. To be called now and then.
  void check();
  // A worker was heard.
  void record_contact(Worker& worker);

  bool is_likely_isolated() const { return self_check_.is_likely_isolated(); }
  // As many as fit in a value of the store.
  std::vector<std::string> unreachable_machines() const;
  std::vector<std::string> unreachable_zones() const { return zones_.unreachable_zones(); }

 private:
  // Machines that answer probes but send no reports.
  bool has_stopped_heartbeats(const Worker& worker) const;
  bool do_most_send_heartbeats() const;
  // Whether the worker should be heard at all.
  bool is_response_expected(const Worker& worker) const;
  bool is_unresponsive(const Worker& worker) const;
  bool is_timeout_exceeded(const Worker& worker) const;
  void set_unreachable(Worker& worker, bool is_unreachable);

  void probe_if_due(Worker& worker);
  bool is_probe_due(const Worker& worker) const;
  bool has_lease_expired(const Worker& worker) const;
  void send_probe(Worker& worker);
  void on_probe_done(const std::string& name, const runtime::CallDone& done);

  // Seconds that the operators let a machine be silent.
  double unreachable_timeout_s() const;

  runtime::Context& context_;
  const store::Replica& replica_;
  WorkerTable& workers_;
  HeartbeatHandler on_heartbeat_;
  ZoneMonitor zones_;
  SelfCheck self_check_;
  int probes_in_flight_ = 0;
};

}  // namespace rooksill::agent
