#include "rooksill/agent/heartbeat_receiver.h"

#include <utility>

namespace rooksill::agent {

namespace {
// Returns whether the task's image is present on the machine.
bool is_image_in_use(const wire::ReportedTask& task) {
  return task.phase == wire::TaskPhase::kRunning || task.phase == wire::TaskPhase::kWaitingForGang;
}
}  // namespace

HeartbeatReceiver::HeartbeatReceiver(runtime::Context& context, const store::Replica& replica,
                                     WorkerTable& workers, FailureDetector& failure_detector,
                                     std::function<void()> on_accepted)
    : context_(context),
      replica_(replica),
      workers_(workers),
      failure_detector_(failure_detector),
      on_accepted_(std::move(on_accepted)) {}

bool HeartbeatReceiver::accept_periodic(Worker& worker, const wire::WorkerHeartbeat& heartbeat) {
  worker.address = heartbeat.address;
  const bool is_newest = !is_outdated(worker, heartbeat);
  if (is_newest) {
    apply(worker, heartbeat);
    worker.contact.last_periodic_heartbeat_at = context_.now.steady;
    // The worker sends no heartbeat while it waits for a response, and drops a late one.
    worker.starts.is_response_in_flight = false;
    worker.starts.is_heartbeat_requested = false;
  } else {
    failure_detector_.probe(worker);
  }
  worker.contact.lease_expires_at = context_.now.steady + context_.settings.platform.lease_s;
  return is_newest;
}

// A response to a request is newer than all heartbeats that had arrived before the request was
// sent, and an agent never reports a lower token than before. If one of these does not hold, the
// agent has restarted. Then `sent_after` of the other requests in flight is above the worker's
// version.
void HeartbeatReceiver::accept_response(Worker& worker, const wire::WorkerHeartbeat& heartbeat,
                                        HeartbeatVersion sent_after) {
  const HeartbeatVersion version = version_of(heartbeat);
  const bool has_lower_token =
      version > worker.version && heartbeat.fencing_token < worker.reported_token;
  if (worker.has_reported && sent_after <= worker.version &&
      (version <= sent_after || has_lower_token))
    record_agent_restart(worker, heartbeat);
  if (!is_outdated(worker, heartbeat)) apply(worker, heartbeat);
}

// A heartbeat that was delayed until the agent had restarted may have a higher version than the
// new agent's, but it has a lower token.
bool HeartbeatReceiver::is_outdated(const Worker& worker, const wire::WorkerHeartbeat& heartbeat) {
  return worker.has_reported && (version_of(heartbeat) <= worker.version ||
                                 heartbeat.fencing_token < worker.reported_token);
}

void HeartbeatReceiver::apply(Worker& worker, const wire::WorkerHeartbeat& heartbeat) {
  const HeartbeatVersion version = version_of(heartbeat);
  if (!worker.has_reported || version.agent_epoch != worker.version.agent_epoch)
    context_.info(
        "agent",
        "received first heartbeat of machine {} with agent epoch {}: fencing token {}, {} tasks",
        worker.name, version.agent_epoch, model::number(heartbeat.fencing_token),
        heartbeat.tasks.size());
  if (!worker.has_reported) worker.starts = StartDelivery{context_.now.steady};
  if (heartbeat.fencing_token > worker.reported_token) record_token_rise(worker, context_);
  worker.has_reported = true;
  worker.version = version;
  worker.reported_token = heartbeat.fencing_token;
  worker.tokens.record_reported(heartbeat.fencing_token);
  failure_detector_.record_contact(worker);
  worker.tasks = heartbeat.tasks;
  record_termination_notice(worker, heartbeat);
  update_image_cache(worker);
  workers_.mark_changed(worker);
  on_accepted_();
}

// The fence keeps out heartbeats that the agent sent before it restarted and that arrive later.
// Their versions may be above those of the new agent.
void HeartbeatReceiver::record_agent_restart(Worker& worker,
                                             const wire::WorkerHeartbeat& heartbeat) {
  context_.count("agent_restarts");
  context_.info("agent",
                "agent of machine {} has restarted: agent epoch {}, sequence {}, fencing token {} "
                "after agent epoch {}, sequence {}, fencing token {} with {} tasks",
                worker.name, heartbeat.agent_epoch, heartbeat.sequence,
                model::number(heartbeat.fencing_token), worker.version.agent_epoch,
                worker.version.sequence, model::number(worker.reported_token), worker.tasks.size());
  worker.has_reported = false;
  worker.reported_token = model::kNoFencingToken;
  worker.images = ImageCache{};
  worker.tokens.raise_fence();
}

void HeartbeatReceiver::record_termination_notice(Worker& worker,
                                                  const wire::WorkerHeartbeat& heartbeat) {
  if (!heartbeat.termination_notice_s || worker.terminates_at) return;
  worker.terminates_at = context_.now.steady + *heartbeat.termination_notice_s;
  context_.info("agent", "machine {} has a termination notice: the cloud reclaims it in {:.1f} s",
                worker.name, *heartbeat.termination_notice_s);
}

void HeartbeatReceiver::update_image_cache(Worker& worker) {
  for (const auto& task : worker.tasks) {
    const model::Job* job = is_image_in_use(task) ? replica_.job(task.task.job) : nullptr;
    if (job != nullptr) worker.images.touch(job->image, job->spec.image_gb);
  }
  const model::Machine* machine = replica_.machine(worker.name);
  if (machine == nullptr) return;
  auto type = replica_.types.find(machine->type);
  if (type != replica_.types.end()) worker.images.shrink_to(type->second.cache_gb);
}

}  // namespace rooksill::agent
