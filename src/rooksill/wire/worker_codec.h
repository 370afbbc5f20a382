// Messages between controllers and the workers on the machines, in JSON. The field names of the
// worker protocol and the terms used for them in this code:
//
//   heartbeat:  perch -> machine, address -> address, build -> type, ward -> zone,
//               loaners -> spot, tenure -> agent epoch, tally -> sequence, baton -> fencing token,
//               warning_s -> termination notice s, pieces -> tasks
//   its tasks:  piece -> task, try -> attempt, status -> phase, cause -> exit cause
//   status:     pulling -> kFetching, gathering -> kWaitingForGang, running -> kRunning,
//               saving -> kSaving, exited -> kExited
//   cause:      done -> kDone, stopped -> kStopped, mates_gone -> kGangMemberLost,
//               alone -> kGangIncomplete, no_room -> kNoRoom, busy -> kBusy,
//               no_such -> kUnknownTask, any other -> kError
//   commands:   baton -> fencing token, tenure -> agent epoch, orders -> commands
//   a command:  piece -> task, try -> attempt, verb -> op, mercy_s -> grace s
//   verb:       start -> kStart, stop -> kStop, reap -> kRemove
//   redirect:   steward -> the label of the controller to report to
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

// The phase of a task's execution on a worker.
enum class TaskPhase {
  kFetching,        // fetches its image
  kWaitingForGang,  // has its image; waits for the other tasks of its gang
  kRunning,
  kSaving,  // saves a checkpoint after a stop command
  kExited   // stays in this phase until it is removed
};

// The reason why a task exited. kGangMemberLost and kGangIncomplete do not indicate a problem with
// the machine: the task ended because of other tasks of its gang.
enum class ExitCause {
  kNone,            // it has not exited
  kDone,            // it completed
  kStopped,         // by a stop command
  kGangMemberLost,  // another task of its gang is gone
  kGangIncomplete,  // its gang did not start together
  kError,           // any other failure
  kNoRoom,          // the machine lacks the capacity
  kBusy,            // another attempt of the task is on the machine
  kUnknownTask      // the worker knows no such task
};

// A task as reported by its worker.
struct ReportedTask {
  model::TaskRef task;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitCause cause = ExitCause::kNone;  // kExited only
};

// The state of a worker, sent as a heartbeat and in response to commands and probes.
struct WorkerHeartbeat {
  std::string machine;  // name
  std::string address;  // host:port
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;  // increases with each start of the worker
  uint64_t sequence = 0;     // increases with each heartbeat of an agent epoch
  model::FencingToken fencing_token =
      model::kNoFencingToken;                  // the highest one that it has received
  std::optional<double> termination_notice_s;  // time until the cloud reclaims it
  std::vector<ReportedTask> tasks;             // all tasks on the machine
};

// A command to a worker about one attempt of a task.
struct WorkerCommand {
  enum class Op { kStart, kStop, kRemove } op;
  model::TaskRef task;
  uint64_t attempt = 0;
  double grace_s = 0;  // kStop: time for the task to save its work
};

// Decodes a worker's heartbeat.
Decoded<WorkerHeartbeat> parse_heartbeat(const std::string& body);

// Returns the response to a heartbeat.
std::string encode_heartbeat_response(model::FencingToken fencing_token,
                                      const std::vector<WorkerCommand>& commands);
// Returns the body of a command request. A worker in another agent epoch rejects it.
std::string encode_commands(model::FencingToken fencing_token, uint64_t agent_epoch,
                            const std::vector<WorkerCommand>& commands);
// Returns a response that redirects a worker to the controller with the label. If the label is
// empty, the worker is to choose any other controller.
std::string encode_redirect(const std::string& label);

}  // namespace rooksill::wire
