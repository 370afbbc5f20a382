#include "rooksill/agent/heartbeat_endpoint.h"

#include <utility>
#include <vector>

namespace rooksill::agent {

HeartbeatEndpoint::HeartbeatEndpoint(const Dependencies& dependencies)
    : context_(dependencies.context),
      replica_(dependencies.replica),
      owned_(dependencies.owned),
      workers_(dependencies.workers),
      receiver_(dependencies.receiver),
      reconciler_(dependencies.reconciler),
      renewal_permit_(dependencies.renewal_permit),
      command_log_(dependencies.command_log) {}

std::optional<wire::UnassignedMachine> HeartbeatEndpoint::extract_unassigned_machine() {
  return std::exchange(unassigned_machine_, {});
}

void HeartbeatEndpoint::handle(uint64_t request, const std::string& body) {
  const auto heartbeat = wire::parse_heartbeat(body);
  if (!heartbeat) return context_.reply(request, 400, "{}");
  if (!replica_.synced) return reply_retry_later(request);
  workers_.record_address(heartbeat->machine, heartbeat->address);
  const model::Machine* machine = replica_.machine(heartbeat->machine);
  if (machine == nullptr) return reply_to_unassigned(request, *heartbeat);
  Worker* worker = workers_.find(heartbeat->machine);
  if (!owned_.owns(machine->partition) || worker == nullptr)
    return redirect_to_owner(request, machine->partition);
  if (!renewal_permit_.is_granted()) return reply_retry_later(request);
  reply_with_commands(request, *worker, *heartbeat);
}

// The leader decides whether to assign such a machine to a partition or to return it.
void HeartbeatEndpoint::reply_to_unassigned(uint64_t request,
                                            const wire::WorkerHeartbeat& heartbeat) {
  unassigned_machine_ = wire::UnassignedMachine{heartbeat.machine, heartbeat.address,
                                                heartbeat.type, heartbeat.zone, heartbeat.spot};
  const std::string& leader = replica_.leader.label;
  const bool is_leader = leader == context_.settings.platform.label;
  context_.reply(request, 421, wire::encode_redirect(is_leader ? "" : leader));
}

void HeartbeatEndpoint::redirect_to_owner(uint64_t request, int partition) {
  const std::string& owner = replica_.leases[static_cast<size_t>(partition)].owner;
  // The partition is leased to this controller, which has not finished acquiring it.
  if (owner == context_.settings.platform.label) return reply_retry_later(request);
  context_.reply(request, 421, wire::encode_redirect(owner));
}

void HeartbeatEndpoint::reply_with_commands(uint64_t request, Worker& worker,
                                            const wire::WorkerHeartbeat& heartbeat) {
  // A newer partition owner has sent commands to this worker, or the machine's former partition had
  // a newer lease. Status 200 would renew a lease that this controller may have no right to.
  if (heartbeat.fencing_token > worker.tokens.current()) {
    worker.tokens.record_reported(heartbeat.fencing_token);
    context_.info("agent",
                  "machine {} has fencing token {}, which is above the token {} of this controller",
                  worker.name, model::number(heartbeat.fencing_token),
                  model::number(worker.tokens.current()));
    return context_.reply(request, 421, "{}");
  }
  context_.count("reports");
  accept_periodic_heartbeat(worker, heartbeat);
  std::vector<wire::WorkerCommand> commands = reconciler_.reconcile(worker);
  // Starts are sent as direct commands only: a delayed heartbeat response could start a task that
  // has been moved meanwhile.
  worker.was_sent_all_commands = remove_starts(commands) == 0;
  command_log_.record(worker, commands);
  context_.reply(request, 200, wire::encode_heartbeat_response(worker.tokens.current(), commands));
}

void HeartbeatEndpoint::accept_periodic_heartbeat(Worker& worker,
                                                  const wire::WorkerHeartbeat& heartbeat) {
  worker.address = heartbeat.address;
  if (!worker.has_reported || version_of(heartbeat) > worker.version)
    worker.contact.last_periodic_heartbeat_at = context_.now.steady;
  receiver_.accept(worker, heartbeat);
  worker.contact.lease_expires_at = context_.now.steady + context_.settings.platform.lease_s;
}

}  // namespace rooksill::agent
