#include "rooksill/wire/worker_codec.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "rooksill/model/identifiers.h"
#include "rooksill/wire/json_fields.h"
#include "rooksill/wire/names.h"

namespace rooksill::wire {

using nlohmann::json;

namespace {

constexpr size_t kMaxMachineNameBytes = 100;

json encode_command(const WorkerCommand& command) {
  json encoded{{"piece", task_name(command.task)}, {"try", command.attempt}};
  switch (command.op) {
    case WorkerCommand::Op::kStart:
      encoded["verb"] = "start";
      break;
    case WorkerCommand::Op::kStop:
      encoded["verb"] = "stop";
      encoded["mercy_s"] = command.grace_s;
      break;
    case WorkerCommand::Op::kRemove:
      encoded["verb"] = "reap";
      break;
  }
  return encoded;
}

json encode_command_list(const std::vector<WorkerCommand>& commands) {
  json list = json::array();
  for (const auto& command : commands) list.push_back(encode_command(command));
  return list;
}

TaskPhase read_phase(const json& task) {
  const auto status = required<std::string>(task, "status");
  if (status == "pulling") return TaskPhase::kFetching;
  if (status == "gathering") return TaskPhase::kWaitingForGang;
  if (status == "running") return TaskPhase::kRunning;
  if (status == "saving") return TaskPhase::kSaving;
  if (status == "exited") return TaskPhase::kExited;
  throw FieldError{"status", "unknown", status};
}

// Exit causes that this version does not know are treated as task errors.
ExitCause read_cause(const json& task) {
  const auto cause = field_or<std::string>(task, "cause", "error");
  if (cause == "done") return ExitCause::kDone;
  if (cause == "stopped") return ExitCause::kStopped;
  if (cause == "mates_gone") return ExitCause::kGangMemberLost;
  if (cause == "alone") return ExitCause::kGangIncomplete;
  if (cause == "no_room") return ExitCause::kNoRoom;
  if (cause == "busy") return ExitCause::kBusy;
  if (cause == "no_such") return ExitCause::kUnknownTask;
  return ExitCause::kError;
}

ReportedTask read_task(const json& value) {
  ReportedTask task;
  const auto name = required<std::string>(value, "piece");
  const auto ref = parse_task_name(name);
  if (!ref) throw FieldError{"piece", "not the name of a task", name};
  task.task = *ref;
  task.attempt = required<uint64_t>(value, "try");
  task.phase = read_phase(value);
  if (task.phase == TaskPhase::kExited) task.cause = read_cause(value);
  return task;
}

WorkerHeartbeat read_heartbeat(const json& value) {
  WorkerHeartbeat heartbeat;
  heartbeat.machine = required<std::string>(value, "perch");
  if (heartbeat.machine.empty() || heartbeat.machine.size() > kMaxMachineNameBytes)
    throw FieldError{"perch", "empty or too long", ""};
  heartbeat.address = required<std::string>(value, "address");
  heartbeat.type = required<std::string>(value, "build");
  heartbeat.zone = required<std::string>(value, "ward");
  heartbeat.spot = required<bool>(value, "loaners");
  heartbeat.agent_epoch = required<uint64_t>(value, "tenure");
  heartbeat.sequence = required<uint64_t>(value, "tally");
  heartbeat.fencing_token = model::FencingToken{required<uint64_t>(value, "baton")};
  const auto notice = value.find("warning_s");
  if (notice != value.end() && !notice->is_null())
    heartbeat.termination_notice_s = convert<double>(*notice, "warning_s");
  for (const auto& task : member(value, "pieces")) heartbeat.tasks.push_back(read_task(task));
  return heartbeat;
}

}  // namespace

Decoded<WorkerHeartbeat> parse_heartbeat(const std::string& body) {
  return decode_with(Interface::kWorker, [&] { return read_heartbeat(parse_object(body)); });
}

std::string encode_heartbeat_response(model::FencingToken fencing_token,
                                      const std::vector<WorkerCommand>& commands) {
  return json{{"baton", fencing_token}, {"orders", encode_command_list(commands)}}.dump();
}

std::string encode_commands(model::FencingToken fencing_token, uint64_t agent_epoch,
                            const std::vector<WorkerCommand>& commands) {
  return json{
      {"baton", fencing_token}, {"tenure", agent_epoch}, {"orders", encode_command_list(commands)}}
      .dump();
}

std::string encode_redirect(const std::string& label) {
  if (label.empty()) return "{}";
  return json{{"steward", label}}.dump();
}

}  // namespace rooksill::wire
