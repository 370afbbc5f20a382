#include "rooksill/agent/command_sender.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "rooksill/runtime/socket_budget.h"

namespace rooksill::agent {

namespace {
using wire::WorkerCommand;

constexpr double kCommandTimeoutHeartbeats = 0.5;
// Divisors of the heartbeat interval that give the delay until the next request: while the store
// has not answered yet, after the worker rejected a request, and after a request was not
// acknowledged.
constexpr double kDeferredStartsDelayDivisor = 20, kRefusedDelayDivisor = 30,
                 kUnansweredDelayDivisor = 3;

constexpr int kHttpOk = 200, kHttpConflict = 409;

// Moves all commands of one kind out of the list.
std::vector<WorkerCommand> extract(std::vector<WorkerCommand>& commands, WorkerCommand::Op op) {
  const auto first_extracted =
      std::stable_partition(commands.begin(), commands.end(),
                            [op](const WorkerCommand& command) { return command.op != op; });
  std::vector<WorkerCommand> extracted(first_extracted, commands.end());
  commands.erase(first_extracted, commands.end());
  return extracted;
}
}  // namespace

CommandSender::CommandSender(const Dependencies& dependencies)
    : context_(dependencies.context),
      replica_(dependencies.replica),
      workers_(dependencies.workers),
      receiver_(dependencies.receiver),
      reconciler_(dependencies.reconciler),
      start_permit_(dependencies.start_permit),
      command_log_(dependencies.command_log) {}

void CommandSender::send_urgent() {
  for (const auto& name : workers_.extract_changed_names())
    if (Worker* worker = workers_.claim_changed(name)) process_changed(*worker);
}

void CommandSender::process_changed(Worker& worker) {
  // The response to that command marks the worker as changed again.
  if (worker.tokens.has_command_in_flight()) return;
  if (!can_send_to(worker)) return workers_.defer(worker);
  // The partition was just acquired. An empty request gives the worker the new fencing token and
  // returns its task list.
  if (!worker.has_reported) return send(worker, {});
  if (std::exchange(worker.was_sent_all_commands, false)) return;
  std::vector<WorkerCommand> commands = reconciler_.reconcile(worker);
  const std::vector<WorkerCommand> starts = extract(commands, WorkerCommand::Op::kStart);
  const std::vector<WorkerCommand> removals = extract(commands, WorkerCommand::Op::kRemove);
  if (commands.size() > kMaxCommandsPerMessage) commands.resize(kMaxCommandsPerMessage);
  if (!commands.empty()) return send(worker, commands);
  // An empty request gives the worker this owner's token, without which no task is started.
  const bool expects_starts = !starts.empty() || !worker.pending_placements.empty();
  if (expects_starts && !worker.tokens.are_earlier_commands_fenced()) return send(worker, {});
  if (!starts.empty()) request_heartbeat(worker, starts, removals);
}

bool CommandSender::can_send_to(const Worker& worker) const {
  return !worker.address.empty() && context_.now.steady >= worker.next_command_at &&
         commands_in_flight_ <
             runtime::kCommandSocketRatio * context_.settings.platform.max_sockets;
}

// Makes the worker send a heartbeat, whose response contains the starts: by a higher token, or else
// by a change of its tasks. Workers react to few tokens, so these are kept for urgent starts.
void CommandSender::request_heartbeat(Worker& worker, const std::vector<WorkerCommand>& starts,
                                      const std::vector<WorkerCommand>& removals) {
  // The worker also sends a heartbeat after it has executed a response with starts.
  if (worker.starts.is_response_in_flight || worker.starts.is_heartbeat_requested) return;
  const bool can_use_token =
      context_.now.steady >= worker.starts.next_token_request_at && has_urgent_start(starts);
  if (!can_use_token && removals.empty()) return;
  if (!start_permit_.is_granted(worker)) return retry_later(worker);
  if (can_use_token && worker.tokens.raise()) {
    record_token_rise(worker, context_);
    send(worker, {});
  } else if (!removals.empty()) {
    send(worker, {removals.front()});
  } else {
    return;
  }
  worker.starts.is_heartbeat_requested = true;
  context_.count("heartbeat_requests");
}

// Users wait for the replicas of a service, and the tasks of a gang for each other.
bool CommandSender::has_urgent_start(const std::vector<WorkerCommand>& starts) const {
  return std::any_of(starts.begin(), starts.end(), [this](const WorkerCommand& start) {
    const model::Job* job = replica_.job(start.task.job);
    return job != nullptr && job->spec.shape != model::Shape::kArray;
  });
}

void CommandSender::retry_later(Worker& worker) {
  worker.next_command_at =
      context_.now.steady + context_.settings.platform.report_s / kDeferredStartsDelayDivisor;
  workers_.defer(worker);
}

void CommandSender::send(Worker& worker, const std::vector<WorkerCommand>& commands) {
  const model::FencingToken token = worker.tokens.current();
  worker.tokens.record_sent();
  worker.starts.is_heartbeat_requested |= !commands.empty();
  ++commands_in_flight_;
  context_.debug("agent", "machine {}: sending {} commands with fencing token {}", worker.name,
                 commands.size(), model::number(token));
  command_log_.record(worker, commands);
  const uint64_t agent_epoch = std::max<uint64_t>(1, worker.version.agent_epoch);
  const InFlightCommand command{worker.name, token, worker.version};
  context_.call(runtime::Target::kWorker, worker.address, "POST", "/commands",
                wire::encode_commands(token, agent_epoch, commands),
                context_.settings.platform.report_s * kCommandTimeoutHeartbeats,
                [this, command](const runtime::CallDone& done) { on_call_done(command, done); });
}

void CommandSender::on_call_done(const InFlightCommand& command, const runtime::CallDone& done) {
  --commands_in_flight_;
  Worker* worker = workers_.find(command.machine);
  // If the worker was removed and added again meanwhile, it has no command in flight or another
  // one.
  if (worker == nullptr || !worker->tokens.is_in_flight(command.token)) return;
  worker->tokens.record_completed();
  workers_.mark_changed(*worker);
  const bool is_acknowledged = done.status == kHttpOk || done.status == kHttpConflict;
  const auto heartbeat = wire::parse_heartbeat(done.body);
  if (is_acknowledged && heartbeat && heartbeat->machine == command.machine)
    on_acknowledged(*worker, command, done.status, *heartbeat);
  else
    on_not_acknowledged(*worker);
}

void CommandSender::on_acknowledged(Worker& worker, const InFlightCommand& command, int status,
                                    const wire::WorkerHeartbeat& heartbeat) {
  const double heartbeat_interval_s = context_.settings.platform.report_s;
  if (status == kHttpConflict) {
    context_.count("rejected_commands");
    worker.next_command_at = context_.now.steady + heartbeat_interval_s / kRefusedDelayDivisor;
  }
  if (heartbeat.fencing_token <= worker.tokens.current())
    return receiver_.accept_response(worker, heartbeat, command.sent_after);
  // A newer partition owner has sent commands to this worker, or the machine's former partition had
  // a newer lease.
  worker.tokens.record_reported(heartbeat.fencing_token);
  context_.info(
      "agent", "machine {} has fencing token {}, which is above the token {} of this controller",
      worker.name, model::number(heartbeat.fencing_token), model::number(worker.tokens.current()));
  worker.next_command_at = context_.now.steady + heartbeat_interval_s;
}

void CommandSender::on_not_acknowledged(Worker& worker) {
  worker.next_command_at =
      context_.now.steady + context_.settings.platform.report_s / kUnansweredDelayDivisor;
  // The worker may not have seen the higher token.
  worker.starts.is_heartbeat_requested = false;
  worker.starts.next_token_request_at = 0;
  context_.count("unacknowledged_commands");
}

}  // namespace rooksill::agent
