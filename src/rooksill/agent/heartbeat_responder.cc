#include "rooksill/agent/heartbeat_responder.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace rooksill::agent {

namespace {
using wire::WorkerCommand;

// A worker sends no two heartbeats within this time, so it loses nothing by waiting for a response
// for less than that.
constexpr double kMinHeartbeatIntervalSeconds = 0.5;
// The remainder covers the way of the heartbeat and of its response.
constexpr double kMaxHoldRatio = 0.8;
constexpr double kRetryAfterSeconds = 1;

// Exited attempts that are left on a worker, if possible. The removal of one of them makes the
// worker send a heartbeat (CommandSender).
constexpr size_t kReservedRemovals = 4;

// Returns whether the worker would reject a start among the commands until this attempt is removed.
bool blocks_start(const WorkerCommand& removal, const std::vector<WorkerCommand>& commands) {
  return std::any_of(commands.begin(), commands.end(), [&removal](const WorkerCommand& command) {
    return command.op == WorkerCommand::Op::kStart && command.task == removal.task;
  });
}

// Returns the commands without the removals that are reserved for later.
std::vector<WorkerCommand> without_reserved_removals(const std::vector<WorkerCommand>& commands) {
  std::vector<WorkerCommand> remaining;
  size_t reserved = 0;
  for (const WorkerCommand& command : commands) {
    const bool can_wait =
        command.op == WorkerCommand::Op::kRemove && !blocks_start(command, commands);
    if (can_wait && reserved < kReservedRemovals)
      ++reserved;
    else
      remaining.push_back(command);
  }
  return remaining;
}
}  // namespace

HeartbeatResponder::HeartbeatResponder(const Dependencies& dependencies,
                                       PlacementCheck expects_placement)
    : context_(dependencies.context),
      owned_(dependencies.owned),
      workers_(dependencies.workers),
      reconciler_(dependencies.reconciler),
      renewal_permit_(dependencies.renewal_permit),
      start_permit_(dependencies.start_permit),
      command_log_(dependencies.command_log),
      expects_placement_(std::move(expects_placement)) {}

void HeartbeatResponder::respond(uint64_t request, Worker& worker, bool is_newest) {
  // Also queues the changes that the heartbeat reveals, before the next placement pass.
  std::vector<WorkerCommand> commands = reconciler_.reconcile(worker);
  // The worker's present tasks are unknown if there is a newer heartbeat.
  if (!is_newest) return reply(request, worker, std::move(commands), false);
  // The worker no longer waits for the response to its previous heartbeat.
  if (const auto previous = held_.extract(worker.name))
    reply_retry_later(previous.mapped().request);
  const HeldResponse held{request, worker.version, context_.now.steady};
  if (is_due(held, worker, commands)) return reply(request, worker, std::move(commands), true);
  held_.emplace(worker.name, held);
}

void HeartbeatResponder::send_due() {
  for (auto it = held_.begin(); it != held_.end();) {
    const HeldResponse& held = it->second;
    Worker* worker = workers_.find(it->first);
    if (!is_valid(held, worker)) {
      reply_retry_later(held.request);
      it = held_.erase(it);
      continue;
    }
    std::vector<WorkerCommand> commands = reconciler_.reconcile(*worker);
    if (!is_due(held, *worker, commands)) {
      ++it;
      continue;
    }
    reply(held.request, *worker, std::move(commands), true);
    it = held_.erase(it);
  }
}

// Returns whether the heartbeat may still be answered with status 200. The worker's version is
// lower if its agent has restarted since: nobody waits for the response.
bool HeartbeatResponder::is_valid(const HeldResponse& held, const Worker* worker) const {
  return worker != nullptr && owned_.owns(worker->partition) && renewal_permit_.is_granted() &&
         worker->has_reported && worker->version >= held.version;
}

bool HeartbeatResponder::is_due(const HeldResponse& held, const Worker& worker,
                                const std::vector<WorkerCommand>& commands) const {
  if (is_expired(held)) return true;
  if (has_starts(commands)) return start_permit_.is_granted(worker);
  return worker.pending_placements.empty() && !expects_placement_(held.received_at);
}

bool HeartbeatResponder::is_expired(const HeldResponse& held) const {
  return context_.now.steady - held.received_at >= kMaxHoldRatio * kMinHeartbeatIntervalSeconds;
}

void HeartbeatResponder::reply(uint64_t request, Worker& worker,
                               std::vector<WorkerCommand> commands, bool may_start) {
  const bool includes_starts = may_start && start_permit_.is_granted(worker);
  const bool is_complete = includes_starts || remove_starts(commands) == 0;
  commands = without_reserved_removals(commands);
  worker.was_sent_all_commands = is_complete && commands.size() <= kMaxCommandsPerMessage;
  if (commands.size() > kMaxCommandsPerMessage) commands.resize(kMaxCommandsPerMessage);
  if (has_starts(commands)) worker.starts.is_response_in_flight = true;
  command_log_.record(worker, commands);
  context_.reply(request, 200, wire::encode_heartbeat_response(worker.tokens.current(), commands));
}

void HeartbeatResponder::reply_retry_later(uint64_t request) {
  context_.reply(request, 503, "{}", kRetryAfterSeconds);
}

}  // namespace rooksill::agent
