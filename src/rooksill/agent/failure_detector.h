// Detects unreachable workers and zones.
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

// Probes workers that have not been in contact for a while and marks those as unreachable that do
// not respond within the timeout; the leader returns such machines and rents replacements. When
// many workers are unreachable at once, it distinguishes the failure of single workers from an
// unreachable zone (ZoneMonitor) and from the isolation of this controller (SelfCheck).
class FailureDetector {
 public:
  // Processes the heartbeat in the response to a probe. The version is that of the worker's latest
  // heartbeat when the probe was sent.
  using HeartbeatHandler =
      std::function<void(Worker&, const wire::WorkerHeartbeat&, HeartbeatVersion)>;

  // All references must outlive the detector.
  FailureDetector(runtime::Context& context, const store::Replica& replica, WorkerTable& workers,
                  HeartbeatHandler on_heartbeat);

  // Sends the probes that are due and updates the state of every worker. Must be called
  // periodically.
  void check();
  // Records that a message from the worker was received.
  void record_contact(Worker& worker);
  // Sends a probe to the worker now, unless one is in flight or was sent a moment ago.
  void probe(Worker& worker);

  // Returns whether this controller itself is likely cut off from the network.
  bool is_likely_isolated() const { return self_check_.is_likely_isolated(); }
  // Returns the machines of unreachable workers, at most as many as fit in a value of the store.
  std::vector<std::string> unreachable_machines() const;
  // Returns the zones that this controller cannot reach, in ascending order.
  std::vector<std::string> unreachable_zones() const { return zones_.unreachable_zones(); }

 private:
  // Whether the worker sends no periodic heartbeats, although it may respond to probes.
  bool has_stopped_heartbeats(const Worker& worker) const;
  // Whether at least half of the workers send periodic heartbeats.
  bool do_most_send_heartbeats() const;
  // Whether the worker is expected to run: it has reported, or tasks are placed on it.
  bool is_response_expected(const Worker& worker) const;
  // Whether a worker that is expected to run has failed its probes and is still without contact.
  bool is_unresponsive(const Worker& worker) const;
  bool is_timeout_exceeded(const Worker& worker) const;
  void set_unreachable(Worker& worker, bool is_unreachable);

  void probe_if_due(Worker& worker);
  bool is_probe_due(const Worker& worker) const;
  bool has_lease_expired(const Worker& worker) const;
  void send_probe(Worker& worker);
  void on_probe_done(const std::string& name, HeartbeatVersion sent_after,
                     const runtime::CallDone& done);

  // Seconds without contact after which a machine is unreachable, as set by the operators.
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
