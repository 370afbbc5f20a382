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
      renewal_permit_(dependencies.renewal_permit) {}

std::optional<wire::UnassignedMachine> HeartbeatEndpoint::take_unassigned_machine() {
  return std::exchange(unassigned_machine_, {});
}

void HeartbeatEndpoint::handle(uint64_t request, const std::string& body) {
  const auto heartbeat = wire::parse_heartbeat(body);
  if (!heartbeat) return context_.reply(request, 400, "{}");
  if (!replica_.synced) return try_again_later(request);
  workers_.record_address(heartbeat->machine, heartbeat->address);
  const model::Machine* machine = replica_.machine(heartbeat->machine);
  if (machine == nullptr) return answer_unassigned(request, *heartbeat);
  Worker* worker = workers_.find(heartbeat->machine);
  if (!owned_.owns(machine->partition) || worker == nullptr)
    return answer_for_other_owner(request, machine->partition);
  if (!renewal_permit_.granted()) return try_again_later(request);
  answer(request, *worker, *heartbeat);
}

// The leader decides what becomes of such a machine.
void HeartbeatEndpoint::answer_unassigned(uint64_t request,
                                          const wire::WorkerHeartbeat& heartbeat) {
  unassigned_machine_ = wire::UnassignedMachine{heartbeat.machine, heartbeat.address,
                                                heartbeat.type, heartbeat.zone, heartbeat.spot};
  const std::string& leader = replica_.leader.label;
  const bool leads = leader == context_.settings.platform.label;
  context_.reply(request, 421, wire::encode_redirect(leads ? "" : leader));
}

void HeartbeatEndpoint::answer_for_other_owner(uint64_t request, int partition) {
  const std::string& owner = replica_.leases[static_cast<size_t>(partition)].owner;
  // Leased to this controller, which has not acquired the partition yet.
  if (owner == context_.settings.platform.label) return try_again_later(request);
  context_.reply(request, 421, wire::encode_redirect(owner));
}

void HeartbeatEndpoint::answer(uint64_t request, Worker& worker,
                               const wire::WorkerHeartbeat& heartbeat) {
  // Another controller is entitled to the worker. A 200 would renew a lease that is not ours.
  if (heartbeat.fencing_token > worker.tokens.current) {
    context_.info("agent", "machine {} has token {} above ours {}", worker.name,
                  model::number(heartbeat.fencing_token), model::number(worker.tokens.current));
    return context_.reply(request, 421, "{}");
  }
  context_.count("reports");
  take_report(worker, heartbeat);
  std::vector<wire::WorkerCommand> commands = reconciler_.reconcile(worker);
  // Starts go out as direct commands only: an answer that arrives late could start what has been
  // moved since.
  worker.answered_in_full = remove_starts(commands) == 0;
  context_.reply(request, 200, wire::encode_heartbeat_answer(worker.tokens.current, commands));
}

void HeartbeatEndpoint::take_report(Worker& worker, const wire::WorkerHeartbeat& heartbeat) {
  worker.address = heartbeat.address;
  if (!worker.reported || version_of(heartbeat) > worker.version)
    worker.contact.last_report = context_.now.steady;
  receiver_.accept(worker, heartbeat);
  worker.contact.lease_ends_at = context_.now.steady + context_.settings.platform.lease_s;
}

}  // namespace rooksill::agent
