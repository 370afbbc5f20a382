// Messages between controllers and the workers of machines.
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

enum class TaskPhase {
  kFetching,        // the image
  kWaitingForGang,  // has its image and waits for the other tasks of its gang
  kRunning,
  kSaving,  // a checkpoint, since it was told to stop
  kExited   // until it is removed
};

// Why a task exited. kGangMemberLost and kGangIncomplete say nothing about its machine: the task
// ended because of other tasks of its gang.
enum class ExitCause {
  kNone,  // it did not exit
  kDone,
  kStopped,
  kGangMemberLost,
  kGangIncomplete,
  kError,
  kNoRoom,
  kBusy,
  kUnknownTask
};

// A task on a worker.
struct ReportedTask {
  model::TaskRef task;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitCause cause = ExitCause::kNone;
};

// What a worker says of itself: a heartbeat, an answer to commands or to a probe.
struct WorkerHeartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;  // rises with each start of the worker
  uint64_t sequence = 0;     // rises with each heartbeat of an agent epoch
  model::FencingToken fencing_token = model::kNoFencingToken;  // the highest one that it has seen
  std::optional<double> termination_notice_s;                  // until the cloud takes it away
  std::vector<ReportedTask> tasks;                             // all that it has
};

struct WorkerCommand {
  enum class Op { kStart, kStop, kRemove } op;
  model::TaskRef task;
  uint64_t attempt = 0;
  double grace_s = 0;  // kStop: that the task has to save its work
};

Decoded<WorkerHeartbeat> parse_heartbeat(const std::string& body);

// The answer to a heartbeat.
std::string encode_heartbeat_answer(model::FencingToken fencing_token,
                                    const std::vector<WorkerCommand>& commands);
// Commands sent to a worker, which refuses them in another agent epoch.
std::string encode_commands(model::FencingToken fencing_token, uint64_t agent_epoch,
                            const std::vector<WorkerCommand>& commands);
// Tells a worker which controller to report to. Empty label: any other.
std::string encode_redirect(const std::string& label);

}  // namespace rooksill::wire
