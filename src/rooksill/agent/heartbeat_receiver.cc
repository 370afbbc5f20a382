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

void HeartbeatReceiver::accept(Worker& worker, const wire::WorkerHeartbeat& heartbeat) {
  const HeartbeatVersion version = version_of(heartbeat);
  if (worker.has_reported && version <= worker.version) return;
  if (!worker.has_reported || version.agent_epoch != worker.version.agent_epoch)
    context_.info(
        "agent",
        "received first heartbeat of machine {} with agent epoch {}: fencing token {}, {} tasks",
        worker.name, version.agent_epoch, model::number(heartbeat.fencing_token),
        heartbeat.tasks.size());
  worker.has_reported = true;
  worker.version = version;
  worker.tokens.record_reported(heartbeat.fencing_token);
  failure_detector_.record_contact(worker);
  worker.tasks = heartbeat.tasks;
  record_termination_notice(worker, heartbeat);
  update_image_cache(worker);
  workers_.mark_changed(worker);
  on_accepted_();
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
