// The state that a partition owner keeps for each worker of its partitions. A worker is the agent
// that runs tasks on one machine; it is identified by the machine's name.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rooksill/agent/image_cache.h"
#include "rooksill/agent/worker_tokens.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/runtime/context.h"
#include "rooksill/wire/controller_messages.h"
#include "rooksill/wire/worker_codec.h"

// All times in this file are seconds of the controller's steady clock.
namespace rooksill::agent {

// Heartbeat intervals without contact after which a worker is probed.
inline constexpr double kProbeAfterHeartbeats = 1.15;

// Orders the heartbeats of a worker, so that a delayed duplicate is recognized by its lower
// version.
struct HeartbeatVersion {
  uint64_t agent_epoch = 0;  // increases when the agent restarts
  uint64_t sequence = 0;     // increases with each heartbeat of an epoch
  auto operator<=>(const HeartbeatVersion&) const = default;
};

// Returns the version of a heartbeat.
inline HeartbeatVersion version_of(const wire::WorkerHeartbeat& heartbeat) {
  return {heartbeat.agent_epoch, heartbeat.sequence};
}

// Times of the latest messages received from a worker.
struct WorkerContact {
  // The last message of any kind: a periodic heartbeat, or a response to a probe or a command.
  double last_contact_at = 0;
  // When contact was restored after the worker had been unreachable.
  double recovered_at = 0;
  // The last heartbeat that the worker sent on its own schedule. Only the response to such a
  // heartbeat renews the lease of its tasks.
  double last_periodic_heartbeat_at = 0;
  // The latest time at which the lease of its tasks expires if no further heartbeat is answered.
  double lease_expires_at = 0;
};

// A worker sends a heartbeat for a higher token at most once in half of its lease. The excess
// covers the drift of clocks and different delays of messages.
inline constexpr double kTokenReactionLeases = 0.51;

// What is known about the delivery of start commands to a worker. Starts are sent only in responses
// to its heartbeats.
struct StartDelivery {
  // When the first heartbeat of the worker's present agent process was received.
  double first_heartbeat_at = 0;
  // A response with starts was sent, and no later heartbeat has been received that the worker sent
  // on its own schedule. The worker may still execute the starts.
  bool is_response_in_flight = false;
  // The worker was sent commands that make it send a heartbeat, and none has been received since.
  bool is_heartbeat_requested = false;
  // Before this time, a higher fencing token does not make the worker send a heartbeat.
  double next_token_request_at = 0;
};

// Probing of a worker that has not been in contact for kProbeAfterHeartbeats.
struct ProbeState {
  double next_probe_at = 0;  // no probe is sent before this time
  bool is_in_flight = false;
  int consecutive_failures = 0;
  bool has_failed = false;  // enough consecutive failures to consider the worker unreachable

  // Resets the failures after contact with the worker.
  void clear_failures() {
    consecutive_failures = 0;
    has_failed = false;
  }
};

// Task failures that are attributed to the machine.
struct FailureRecord {
  int consecutive_failures = 0;
  std::set<std::string> failed_jobs;  // IDs of the jobs whose tasks failed
  bool is_faulty = false;             // the machine is to be returned to the cloud
  double avoid_until = 0;             // no task is placed on the machine before this time
};

// One worker of a partition owned by this controller.
struct Worker {
  std::string name;     // of its machine
  std::string address;  // empty if unknown
  int partition = 0;    // that the machine belongs to
  WorkerTokens tokens;

  // Contents of its latest heartbeat. Before the first one, which tasks it runs is unknown.
  bool has_reported = false;  // a heartbeat was accepted since this controller owns the partition
  HeartbeatVersion version;
  model::FencingToken reported_token = model::kNoFencingToken;  // the highest it had seen
  std::vector<wire::ReportedTask> tasks;  // on the machine, including those that have exited
  std::optional<double> terminates_at;    // when the cloud reclaims the machine, once announced

  WorkerContact contact;
  StartDelivery starts;
  ProbeState probe;
  bool is_unreachable = false;  // for so long that the machine may be replaced
  FailureRecord failures;
  ImageCache images;
  std::map<model::TaskRef, double> running_since;  // when a task was first reported running
  std::set<model::TaskRef> pending_placements;     // decided, but not yet written to the store
  double next_command_at = 0;                      // no direct command is sent before this time

  placement::MachineCapacity capacity;
  bool is_capacity_stale = true;  // `capacity` has to be recomputed

  bool is_queued_as_changed = false;     // is in the worker table's list of changed workers
  bool was_sent_all_commands = false;    // the last heartbeat response left out no command
  bool has_status_change = true;         // since its status was last published
  wire::MachineStatus published_status;  // the status as last published
};

// Returns whether the task list of the latest heartbeat is final for every command sent before:
// none of them can still add a task or start an exited one again.
inline bool is_task_list_final(const Worker& worker) {
  return worker.tokens.are_earlier_commands_fenced() && !worker.starts.is_response_in_flight;
}

// Records that the worker has seen a higher token or is about to see one, and sends a heartbeat for
// it unless it has just done so for another one.
inline void record_token_rise(Worker& worker, const runtime::Context& context) {
  double& next_at = worker.starts.next_token_request_at;
  if (context.now.steady < next_at) return;
  next_at = context.now.steady + kTokenReactionLeases * context.settings.platform.lease_s;
}

// Returns the expected seconds until the worker can be sent the start of an urgent task: until it
// can be made to send a heartbeat (CommandSender), or sends the next one by itself.
inline double start_delay_s(const Worker& worker, const runtime::Context& context) {
  const double now = context.now.steady;
  const StartDelivery& starts = worker.starts;
  const bool sends_heartbeat_soon = starts.is_response_in_flight || starts.is_heartbeat_requested;
  const bool has_exited_task = std::any_of(
      worker.tasks.begin(), worker.tasks.end(),
      [](const wire::ReportedTask& task) { return task.phase == wire::TaskPhase::kExited; });
  if (sends_heartbeat_soon || has_exited_task || now >= starts.next_token_request_at) return 0;
  const double next_heartbeat_at =
      worker.contact.last_periodic_heartbeat_at + context.settings.platform.report_s;
  return std::max(0.0, next_heartbeat_at - now);
}

// Returns the seconds since the last contact with the worker. This process could not receive
// anything while it was suspended, so only the time since it resumed is counted.
inline double seconds_since_contact(const Worker& worker, const runtime::Context& context) {
  return context.now.steady - std::max(worker.contact.last_contact_at, context.resumed_at);
}

}  // namespace rooksill::agent
