#include "rooksill/agent/heartbeat_endpoint.h"

#include <utility>

namespace rooksill::agent {

HeartbeatEndpoint::HeartbeatEndpoint(const Dependencies& dependencies)
    : context_(dependencies.context),
      replica_(dependencies.replica),
      owned_(dependencies.owned),
      workers_(dependencies.workers),
      receiver_(dependencies.receiver),
      responder_(dependencies.responder),
      renewal_permit_(dependencies.renewal_permit) {}

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
  accept(request, *worker, *heartbeat);
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

void HeartbeatEndpoint::accept(uint64_t request, Worker& worker,
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
  const bool is_newest = receiver_.accept_periodic(worker, heartbeat);
  responder_.respond(request, worker, is_newest);
}

}  // namespace rooksill::agent
