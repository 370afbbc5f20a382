#include "rooksill/wire/worker_codec.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "rooksill/model/identifiers.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::wire {

using nlohmann::json;

namespace {

json encode_command_list(const std::vector<WorkerCommand>& commands) {
  json a = json::array();
  for (const auto& o : commands) {
    json x{{"piece", task_name(o.task)}, {"try", o.attempt}};
    switch (o.op) {
      case WorkerCommand::Op::kStart:
        x["verb"] = "start";
        break;
      case WorkerCommand::Op::kStop:
        x["verb"] = "stop";
        x["mercy_s"] = o.grace_s;
        break;
      case WorkerCommand::Op::kRemove:
        x["verb"] = "reap";
        break;
    }
    a.push_back(std::move(x));
  }
  return a;
}

std::optional<TaskPhase> parse_phase(const std::string& s) {
  if (s == "pulling") return TaskPhase::kFetching;
  if (s == "gathering") return TaskPhase::kWaitingForGang;
  if (s == "running") return TaskPhase::kRunning;
  if (s == "saving") return TaskPhase::kSaving;
  if (s == "exited") return TaskPhase::kExited;
  return std::nullopt;
}

ExitCause parse_cause(const std::string& s) {
  if (s == "done") return ExitCause::kDone;
  if (s == "stopped") return ExitCause::kStopped;
  if (s == "mates_gone") return ExitCause::kGangMemberLost;
  if (s == "alone") return ExitCause::kGangIncomplete;
  if (s == "no_room") return ExitCause::kNoRoom;
  if (s == "busy") return ExitCause::kBusy;
  if (s == "no_such") return ExitCause::kUnknownTask;
  return ExitCause::kError;
}

}  // namespace

std::optional<WorkerHeartbeat> parse_heartbeat(const std::string& body) try {
  json j = json::parse(body, nullptr, false);
  if (!j.is_object()) return std::nullopt;
  WorkerHeartbeat r;
  r.machine = j.at("perch").get<std::string>();
  r.address = j.at("address").get<std::string>();
  r.type = j.at("build").get<std::string>();
  r.zone = j.at("ward").get<std::string>();
  r.spot = j.at("loaners").get<bool>();
  r.agent_epoch = j.at("tenure").get<uint64_t>();
  r.sequence = j.at("tally").get<uint64_t>();
  r.fencing_token = model::FencingToken{j.at("baton").get<uint64_t>()};
  auto notice = j.find("warning_s");
  if (notice != j.end() && !notice->is_null()) r.termination_notice_s = notice->get<double>();
  for (const auto& p : j.at("pieces")) {
    ReportedTask t;
    auto ref = parse_task_name(p.at("piece").get<std::string>());
    auto phase = parse_phase(p.at("status").get<std::string>());
    if (!ref || !phase) return std::nullopt;
    t.task = *ref;
    t.attempt = p.at("try").get<uint64_t>();
    t.phase = *phase;
    if (t.phase == TaskPhase::kExited) t.cause = parse_cause(p.value("cause", "error"));
    r.tasks.push_back(std::move(t));
  }
  if (r.machine.empty() || r.machine.size() > 100) return std::nullopt;
  return r;
} catch (const json::exception&) {
  return std::nullopt;
}

std::string encode_answer(model::FencingToken fencing_token,
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
