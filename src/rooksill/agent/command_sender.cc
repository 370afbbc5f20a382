#include "rooksill/agent/command_sender.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "rooksill/runtime/socket_budget.h"

namespace rooksill::agent {

namespace {
using wire::WorkerCommand;

constexpr size_t kMaxCommands = 64;      // in one request
constexpr double kTimeoutReports = 0.5;  // in report intervals
// Parts of a report interval until the next command: after starts were held back, after the worker
// refused the command, and after it did not answer.
constexpr double kHeldBackPart = 20, kRefusedPart = 30, kUnansweredPart = 3;

constexpr int kOk = 200, kConflict = 409;

bool is_start(const WorkerCommand& command) { return command.op == WorkerCommand::Op::kStart; }

// Removing alone is not urgent: the next answer carries it. Before a start it is, since an older
// attempt that is still listed would make the worker refuse the new one.
bool urgent(const std::vector<WorkerCommand>& commands) {
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
      renewal_permit_(dependencies.renewal_permit) {}

void CommandSender::send_urgent() {
  for (const auto& name : workers_.take_changed())
    if (Worker* worker = workers_.claim_changed(name)) handle_changed(*worker);
}

void CommandSender::handle_changed(Worker& worker) {
  // The command's answer will mark the worker as changed again.
  if (worker.tokens.command_in_flight()) return;
  if (!may_send(worker)) return workers_.defer(worker);
  // Of a partition just acquired: an empty command shows the worker our token and brings its
  // report.
  if (!worker.reported) return send(worker, {});
  if (std::exchange(worker.answered_in_full, false)) return;
  std::vector<WorkerCommand> commands = reconciler_.reconcile(worker);
  if (!may_start_tasks()) hold_back_starts(worker, commands);
  if (!urgent(commands)) return;
  if (commands.size() > kMaxCommands) commands.resize(kMaxCommands);
  send(worker, commands);
}

bool CommandSender::may_send(const Worker& worker) const {
  return !worker.address.empty() && context_.now.steady >= worker.next_command_at &&
         in_flight_ < runtime::kCommandSocketRatio * context_.settings.platform.max_sockets;
}

// After a pause, or long without the store, the job may be cancelled and the task elsewhere, for
// all that is known here; and a worker in a new agent epoch would run it for a lease.
bool CommandSender::may_start_tasks() const {
  return replica_.synced_at >= context_.resumed_at && renewal_permit_.granted();
}

void CommandSender::hold_back_starts(Worker& worker, std::vector<WorkerCommand>& commands) {
  if (remove_starts(commands) == 0) return;
  worker.next_command_at =
      context_.now.steady + context_.settings.platform.report_s / kHeldBackPart;
  workers_.defer(worker);
}

void CommandSender::send(Worker& worker, const std::vector<WorkerCommand>& commands) {
  const model::FencingToken token = worker.tokens.current;
  worker.tokens.in_flight = token;
  ++in_flight_;
  context_.debug("agent", "machine {}: {} commands, token {}", worker.name, commands.size(),
                 model::number(token));
  const uint64_t agent_epoch = std::max<uint64_t>(1, worker.version.agent_epoch);
  const Sent sent{worker.name, token, std::any_of(commands.begin(), commands.end(), is_start)};
  context_.call(runtime::Target::kWorker, worker.address, "POST", "/commands",
                wire::encode_commands(token, agent_epoch, commands),
                context_.settings.platform.report_s * kTimeoutReports,
                [this, sent](const runtime::CallDone& done) { on_done(sent, done); });
}

void CommandSender::on_done(const Sent& sent, const runtime::CallDone& done) {
  --in_flight_;
  Worker* worker = workers_.find(sent.machine);
  // A worker that was removed and added again since has no command under way, or another one.
  if (worker == nullptr || worker->tokens.in_flight != sent.token) return;
  worker->tokens.in_flight = model::kNoFencingToken;
  workers_.mark_changed(*worker);
  const bool answered = done.status == kOk || done.status == kConflict;
  const auto heartbeat = wire::parse_heartbeat(done.body);
  if (answered && heartbeat && heartbeat->machine == sent.machine)
    on_acknowledged(*worker, done.status, *heartbeat);
  else
    on_not_acknowledged(*worker, sent, done.connection_refused);
}

void CommandSender::on_acknowledged(Worker& worker, int status,
                                    const wire::WorkerHeartbeat& heartbeat) {
  const double report = context_.settings.platform.report_s;
  if (status == kConflict) worker.next_command_at = context_.now.steady + report / kRefusedPart;
  if (heartbeat.fencing_token <= worker.tokens.current) return receiver_.accept(worker, heartbeat);
  // Another controller is entitled to the worker.
  context_.info("agent", "machine {} has token {} above ours {}", worker.name,
                model::number(heartbeat.fencing_token), model::number(worker.tokens.current));
  worker.next_command_at = context_.now.steady + report;
}

void CommandSender::on_not_acknowledged(Worker& worker, const Sent& sent, bool refused) {
  worker.next_command_at =
      context_.now.steady + context_.settings.platform.report_s / kUnansweredPart;
  // A refused connection carried nothing.
  if (!sent.starts_tasks || refused) return;
  WorkerTokens& tokens = worker.tokens;
  tokens.unacknowledged = std::max(tokens.unacknowledged, sent.token);
  tokens.current = std::max(tokens.current, model::next(sent.token));
  context_.debug("agent", "machine {}: command unacknowledged, token now {}", worker.name,
                 model::number(tokens.current));
}

}  // namespace rooksill::agent
