// What the owner of a partition knows of one of the partition's workers. A worker is the agent that
// runs tasks on one machine; it has the machine's name.
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
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/runtime/context.h"
#include "rooksill/wire/controller_messages.h"
#include "rooksill/wire/worker_codec.h"

// All times here are seconds of the controller's steady clock.
namespace rooksill::agent {

// Silence, in report intervals, after which a worker is probed.
inline constexpr double kProbeAfterHeartbeats = 1.15;

// The fencing tokens between this controller and a worker.
struct WorkerTokens {
  // Sent with every answer and command. Never falls.
  model::FencingToken current = model::kNoFencingToken;
  // The highest token of a direct command that was never acknowledged. Such a command may still be
  // carried out until the worker has seen a higher token.
  model::FencingToken highest_unacknowledged = model::kNoFencingToken;
  // Token of the direct command under way.
  model::FencingToken in_flight = model::kNoFencingToken;
  // The highest token that the worker had seen when it last reported.
  model::FencingToken last_reported = model::kNoFencingToken;

  bool has_command_in_flight() const { return in_flight != model::kNoFencingToken; }
  // Whether no earlier command can reach the worker any more.
  bool are_earlier_commands_fenced() const { return last_reported > std::max(highest_unacknowledged, in_flight); }
};

// Orders a worker's heartbeats: a late copy of an older one has a lower version.
struct HeartbeatVersion {
  uint64_t agent_epoch = 0;  // rises when the agent restarts
  uint64_t sequence = 0;     // rises with each heartbeat of an epoch
  auto operator<=>(const HeartbeatVersion&) const = default;
};

inline HeartbeatVersion version_of(const wire::WorkerHeartbeat& heartbeat) {
  return {heartbeat.agent_epoch, heartbeat.sequence};
}

// When a worker was heard.
struct WorkerContact {
  // Any message of the worker: its own reports, and its answers to probes and commands.
  double last_contact_at = 0;
  // When it was heard again after a silence.
  double recovered_at = 0;
  // The last report that the worker sent of its own accord. Only an answer to such a report renews
  // the lease of its tasks.
  double last_periodic_heartbeat_at = 0;
  // When the tasks' lease ends at the latest, if no further report is answered.
  double lease_expires_at = 0;
};

// Probes are sent to a worker that was not heard for a while.
struct ProbeState {
  double next_probe_at = 0;
  bool is_in_flight = false;
  int consecutive_failures = 0;     // in a row
  bool has_failed = false;  // enough of them to take the worker for unreachable

  void clear_failures() {
    consecutive_failures = 0;
    has_failed = false;
  }
};

// Failures of tasks that are held against the machine.
struct FailureRecord {
  int consecutive_failures = 0;
  std::set<std::string> failed_jobs;  // those that failed
  bool is_faulty = false;         // the machine is to be returned
  double avoid_until = 0;      // no task is placed there before
};

struct Worker {
  std::string name;
  std::string address;  // empty: not known
  int partition = 0;
  WorkerTokens tokens;

  // What it reported last; nothing is known of its tasks before the first report.
  bool has_reported = false;
  HeartbeatVersion version;
  std::vector<wire::ReportedTask> tasks;
  std::optional<double> terminates_at;  // when the cloud takes the machine back, once announced

  WorkerContact contact;
  ProbeState probe;
  bool is_unreachable = false;  // out of reach for so long that the machine may be given up
  FailureRecord failures;
  ImageCache images;
  std::map<model::TaskRef, double> running_since;  // when a task was first reported running
  std::set<model::TaskRef> pending_placements;     // decided and not yet in the store
  double next_command_at = 0;                      // no direct command before

  placement::MachineCapacity capacity;
  bool is_capacity_stale = true;  // `capacity` has to be computed anew

  bool is_queued_as_changed = false;           // in the table's list of workers that changed
  bool has_received_all_commands = false;  // its last answer carried every command there was
  bool has_status_change = true;     // since its status was last published
  wire::MachineStatus published_status;
};

// Seconds since the worker was last heard. While this process stood still it could hear nobody, so
// that time is not counted.
inline double seconds_since_contact(const Worker& worker, const runtime::Context& context) {
  return context.now.steady - std::max(worker.contact.last_contact_at, context.resumed_at);
}

}  // namespace rooksill::agent
