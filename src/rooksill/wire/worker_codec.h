// The wire between controllers and workers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"

namespace rooksill::wire {

// kGathering: a gang's task that has its image and waits for the others.
enum class TaskPhase { kFetching, kWaitingForGang, kRunning, kSaving, kExited };
// kMatesGone, kAlone: a gang's task that ended because of the others; says nothing of its machine.
enum class ExitCause {
  kNone,
  kDone,
  kStopped,
  kGangMemberLost,
  kGangIncomplete,
  kError,
  kNoRoom,
  kBusy,
  kUnknownTask
};

struct ReportedTask {
  model::TaskRef task;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitCause cause = ExitCause::kNone;
};

struct WorkerHeartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  uint64_t agent_epoch = 0, sequence = 0;
  model::FencingToken fencing_token = model::kNoFencingToken;
  std::optional<double> termination_notice_s;
  std::vector<ReportedTask> tasks;
};

struct WorkerCommand {
  enum class Op { kStart, kStop, kRemove } op;
  model::TaskRef task;
  uint64_t attempt = 0;
  double grace_s = 0;
};

std::optional<WorkerHeartbeat> parse_heartbeat(const std::string& body);
std::string encode_answer(model::FencingToken fencing_token,
                          const std::vector<WorkerCommand>& commands);
std::string encode_commands(model::FencingToken fencing_token, uint64_t agent_epoch,
                            const std::vector<WorkerCommand>& commands);
std::string encode_redirect(const std::string& label);

}  // namespace rooksill::wire
