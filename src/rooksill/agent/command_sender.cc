#include "rooksill/agent/command_sender.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "rooksill/runtime/socket_budget.h"

namespace rooksill::agent {

namespace {
using wire::WorkerCommand;

constexpr size_t kMaxCommandsPerRequest = 64;
constexpr double kCommandTimeoutHeartbeats = 0.5;
// Divisors of the heartbeat interval that give the delay until the next request: after starts were
// deferred, after the worker rejected a request, and after a request was not acknowledged.
constexpr double kDeferredStartsDelayDivisor = 20, kRefusedDelayDivisor = 30,
                 kUnansweredDelayDivisor = 3;

constexpr int kHttpOk = 200, kHttpConflict = 409;

bool is_start(const WorkerCommand& command) { return command.op == WorkerCommand::Op::kStart; }

// Returns whether the commands have to be sent now. Removals alone can wait for the next heartbeat
// response. A removal that precedes a start is urgent: while an older attempt is still listed, the
// worker rejects the new one.
bool is_urgent(const std::vector<WorkerCommand>& commands) {
  return std::any_of(commands.begin(), commands.end(), [](const WorkerCommand& command) {
    return command.op != WorkerCommand::Op::kRemove;
  });
}
}  // namespace

CommandSender::CommandSender(const Dependencies& dependencies)
    : context_(dependencies.context),
      replica_(dependencies.replica),
      workers_(dependencies.workers),
      receiver_(dependencies.receiver),
      reconciler_(dependencies.reconciler),
      renewal_permit_(dependencies.renewal_permit),
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
  if (!can_start_tasks()) defer_starts(worker, commands);
  if (!is_urgent(commands)) return;
  if (commands.size() > kMaxCommandsPerRequest) commands.resize(kMaxCommandsPerRequest);
  send(worker, commands);
}

bool CommandSender::can_send_to(const Worker& worker) const {
  return !worker.address.empty() && context_.now.steady >= worker.next_command_at &&
         commands_in_flight_ <
             runtime::kCommandSocketRatio * context_.settings.platform.max_sockets;
}

// After this process was suspended, or after a long time without the store, the replica may be
// stale: the job may have been cancelled or the task placed on another machine. A worker in a new
// agent epoch would run the task for a whole lease.
bool CommandSender::can_start_tasks() const {
  return replica_.synced_at >= context_.resumed_at && renewal_permit_.is_granted();
}

void CommandSender::defer_starts(Worker& worker, std::vector<WorkerCommand>& commands) {
  if (remove_starts(commands) == 0) return;
  worker.next_command_at =
      context_.now.steady + context_.settings.platform.report_s / kDeferredStartsDelayDivisor;
  workers_.defer(worker);
}

void CommandSender::send(Worker& worker, const std::vector<WorkerCommand>& commands) {
  const model::FencingToken token = worker.tokens.current();
  const bool has_starts = std::any_of(commands.begin(), commands.end(), is_start);
  worker.tokens.record_sent(has_starts);
  ++commands_in_flight_;
  context_.debug("agent", "machine {}: sending {} commands with fencing token {}", worker.name,
                 commands.size(), model::number(token));
  command_log_.record(worker, commands);
  const uint64_t agent_epoch = std::max<uint64_t>(1, worker.version.agent_epoch);
  const InFlightCommand command{worker.name, token, has_starts};
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
    on_acknowledged(*worker, done.status, *heartbeat);
  else
    on_not_acknowledged(*worker, command, done.connection_refused);
}

void CommandSender::on_acknowledged(Worker& worker, int status,
                                    const wire::WorkerHeartbeat& heartbeat) {
  const double heartbeat_interval_s = context_.settings.platform.report_s;
  if (status == kHttpConflict) {
    context_.count("rejected_commands");
    worker.next_command_at = context_.now.steady + heartbeat_interval_s / kRefusedDelayDivisor;
  }
  if (heartbeat.fencing_token <= worker.tokens.current())
    return receiver_.accept(worker, heartbeat);
  // A newer partition owner has sent commands to this worker, or the machine's former partition had
  // a newer lease.
  worker.tokens.record_reported(heartbeat.fencing_token);
  context_.info(
      "agent", "machine {} has fencing token {}, which is above the token {} of this controller",
      worker.name, model::number(heartbeat.fencing_token), model::number(worker.tokens.current()));
  worker.next_command_at = context_.now.steady + heartbeat_interval_s;
}

void CommandSender::on_not_acknowledged(Worker& worker, const InFlightCommand& command,
                                        bool is_connection_refused) {
  worker.next_command_at =
      context_.now.steady + context_.settings.platform.report_s / kUnansweredDelayDivisor;
  // A refused connection delivered no commands.
  if (!command.has_starts || is_connection_refused) return;
  context_.count("unacknowledged_starts");
  worker.tokens.record_unacknowledged(command.token);
  context_.debug("agent", "machine {}: command was not acknowledged, fencing token is {} now",
                 worker.name, model::number(worker.tokens.current()));
}

}  // namespace rooksill::agent
