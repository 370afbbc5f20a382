#include "rooksill/agent/reconciler.h"

#include <algorithm>
#include <utility>

#include "rooksill/wire/store_codec.h"

namespace rooksill::agent {

namespace {
using changes::TaskChange;
using wire::WorkerCommand;

constexpr int kFaultyConsecutiveFailures = 3;  // consecutive failures that make a machine faulty
constexpr size_t kFaultyDistinctJobs = 2;      // jobs that the failed tasks must belong to
// `running_since` is pruned when it holds more than kStartTimesPerTask entries for each reported
// task and kSpareTasks further ones.
constexpr size_t kStartTimesPerTask = 4, kSpareTasks = 16;

WorkerCommand make_stop_command(const wire::ReportedTask& task, double grace_s) {
  return {WorkerCommand::Op::kStop, task.task, task.attempt, grace_s};
}

std::string describe_place(const model::TaskState& task) {
  if (task.done) return "done";
  return task.machine.empty() ? "on no machine" : "on " + task.machine;
}

// Returns whether an exit is no sign of a machine fault: the task was stopped by a command, or
// ended because its gang was incomplete.
bool is_intentional_exit(wire::ExitCause cause) {
  return cause == wire::ExitCause::kStopped || cause == wire::ExitCause::kGangMemberLost ||
         cause == wire::ExitCause::kGangIncomplete;
}

bool is_start(const WorkerCommand& command) { return command.op == WorkerCommand::Op::kStart; }
}  // namespace

bool has_starts(const std::vector<WorkerCommand>& commands) {
  return std::any_of(commands.begin(), commands.end(), is_start);
}

size_t remove_starts(std::vector<WorkerCommand>& commands) {
  return std::erase_if(commands, is_start);
}

Reconciler::Reconciler(const Dependencies& dependencies, QuotaCheck exceeds_quota)
    : context_(dependencies.context),
      replica_(dependencies.replica),
      owned_(dependencies.owned),
      changes_(dependencies.changes),
      workers_(dependencies.workers),
      evicted_(dependencies.evicted),
      backoff_(dependencies.backoff),
      exceeds_quota_(std::move(exceeds_quota)),
      gangs_(replica_, changes_, workers_, evicted_) {}

std::vector<WorkerCommand> Reconciler::reconcile(Worker& worker) {
  std::vector<WorkerCommand> commands;
  if (!worker.has_reported || !owned_.owns(worker.partition)) return commands;
  const auto append = [&commands](OptionalCommand command) {
    if (command) commands.push_back(std::move(*command));
  };
  std::set<model::TaskRef> matched;
  for (const auto& reported : worker.tasks) {
    if (!is_placed_on(worker, reported)) {
      append(reconcile_unexpected(worker, reported));
      continue;
    }
    matched.insert(reported.task);
    if (!changes_.is_pending(reported.task)) append(reconcile_reported(worker, reported));
  }
  for (const auto& ref : replica_.placed_on(worker.name))
    if (matched.count(ref) == 0 && !changes_.is_pending(ref))
      append(reconcile_unreported(worker, ref));
  if (worker.running_since.size() > kStartTimesPerTask * (worker.tasks.size() + kSpareTasks))
    std::erase_if(worker.running_since,
                  [&](const auto& entry) { return matched.count(entry.first) == 0; });
  return commands;
}

bool Reconciler::is_placed_on(const Worker& worker, const wire::ReportedTask& reported) const {
  const model::TaskState* task = replica_.task(reported.task);
  return task != nullptr && !task->done && task->machine == worker.name &&
         task->attempt == reported.attempt;
}

// Handles a task that the store does not place on the worker in this attempt.
Reconciler::OptionalCommand Reconciler::reconcile_unexpected(
    const Worker& worker, const wire::ReportedTask& reported) const {
  if (reported.phase != wire::TaskPhase::kExited) {
    log_unexpected(worker, reported);
    return make_stop_command(reported, 0);
  }
  if (!is_task_list_final(worker)) return std::nullopt;
  return WorkerCommand{WorkerCommand::Op::kRemove, reported.task, reported.attempt, 0};
}

// A running attempt that the store does not know is a sign of a start that was executed although it
// had no effect any more. Jobs that are over have no tasks in the store.
void Reconciler::log_unexpected(const Worker& worker, const wire::ReportedTask& reported) const {
  const model::Job* job = replica_.job(reported.task.job);
  const model::TaskState* task = replica_.task(reported.task);
  if (job == nullptr || job->over() || task == nullptr) return;
  context_.count("unexpected_attempts");
  context_.info("agent",
                "machine {} runs task {} attempt {}, stopping it: in the store attempt {} is {}",
                worker.name, wire::task_name(reported.task), reported.attempt, task->attempt,
                describe_place(*task));
}

// Handles a reported task that the store places on the worker.
Reconciler::OptionalCommand Reconciler::reconcile_reported(Worker& worker,
                                                           const wire::ReportedTask& reported) {
  if (reported.phase == wire::TaskPhase::kExited) {
    reconcile_exited(worker, reported);
    return std::nullopt;
  }
  if (reported.phase == wire::TaskPhase::kRunning)
    worker.running_since.emplace(reported.task, context_.now.steady);
  const model::Job* job = replica_.job(reported.task.job);
  if (job == nullptr) return std::nullopt;
  return stop_if_needed(worker, reported, *job);
}

void Reconciler::reconcile_exited(Worker& worker, const wire::ReportedTask& reported) {
  if (reported.cause == wire::ExitCause::kDone) {
    worker.failures.consecutive_failures = 0;
    worker.failures.failed_jobs.clear();
    changes_.add(reported.task, TaskChange::done(worker.name, worker.partition, reported.attempt));
  } else if (is_task_list_final(worker)) {
    record_loss(worker, reported);
  }
}

Reconciler::OptionalCommand Reconciler::stop_if_needed(const Worker& worker,
                                                       const wire::ReportedTask& reported,
                                                       const model::Job& job) {
  if (job.over()) return make_stop_command(reported, 0);
  if (reported.phase == wire::TaskPhase::kSaving) return std::nullopt;
  if (evicted_.contains(reported.task, reported.attempt))
    return make_stop_command(reported, job.spec.save_s);
  const bool gang = job.spec.shape == model::Shape::kGang;
  // Once one task is lost, the others cannot continue, and those waiting for the gang to start
  // would wait forever. The next attempt starts only after all of them have ended.
  if (gang && gangs_.has_lost_task(job)) return make_stop_command(reported, 0);
  // A task that is unlikely to complete before the machine is reclaimed is stopped now, so that it
  // restarts on another machine without waiting for this one to disappear.
  if (!worker.terminates_at || can_complete_in_time(worker, reported, job.spec))
    return std::nullopt;
  if (gang) gangs_.evict_all(job);
  return make_stop_command(reported, job.spec.save_s);
}

// Handles a task that the store places on a worker and the worker does not report. A task that was
// never started there, or that ended with the worker's agent epoch, is started in place: its image
// is cached there, and no write to the store is needed. After a network outage that outlasts the
// lease, this applies to the tasks of hundreds of machines at once.
Reconciler::OptionalCommand Reconciler::reconcile_unreported(Worker& worker,
                                                             const model::TaskRef& ref) {
  const model::Job* job = replica_.job(ref.job);
  const model::TaskState* task = replica_.task(ref);
  if (job == nullptr || task == nullptr) return std::nullopt;
  const uint64_t attempt = task->attempt;
  if (can_restart(worker, ref, *job))
    return WorkerCommand{WorkerCommand::Op::kStart, ref, attempt, 0};
  if (!is_task_list_final(worker)) return std::nullopt;
  worker.running_since.erase(ref);
  changes_.add(ref, TaskChange::lost(worker.name, worker.partition, attempt));
  return std::nullopt;
}

// Returns whether a task may be started in place. Not on a machine that is about to be removed or
// drained, nor if the team exceeds its quota share: the share may have been transferred after the
// task ended, before that end was written to the store. A gang's task cannot rejoin an attempt in
// which it has already run or another task is lost.
bool Reconciler::can_restart(Worker& worker, const model::TaskRef& ref, const model::Job& job) {
  if (job.over() || worker.terminates_at || worker.failures.is_faulty) return false;
  if (workers_.is_draining(worker.name)) return false;
  if (job.spec.shape == model::Shape::kGang &&
      (worker.running_since.count(ref) != 0 || gangs_.has_lost_task(job)))
    return false;
  return !exceeds_quota_(job.spec.team, worker);
}

// Returns whether a task is likely to complete before the machine is reclaimed.
bool Reconciler::can_complete_in_time(const Worker& worker, const wire::ReportedTask& reported,
                                      const model::JobSpec& spec) const {
  if (spec.shape == model::Shape::kService) return false;
  const double time_left_s = *worker.terminates_at - context_.now.steady - spec.save_s;
  if (reported.phase != wire::TaskPhase::kRunning) return spec.estimate_s < time_left_s;
  auto since = worker.running_since.find(reported.task);
  const double elapsed_s =
      since == worker.running_since.end() ? 0 : context_.now.steady - since->second;
  return spec.estimate_s - elapsed_s < time_left_s;
}

void Reconciler::record_loss(Worker& worker, const wire::ReportedTask& reported) {
  context_.debug("agent", "task {} attempt {} exited on machine {}: cause {}",
                 wire::task_name(reported.task), reported.attempt, worker.name,
                 static_cast<int>(reported.cause));
  if (reported.cause == wire::ExitCause::kError)
    record_failure(worker, reported.task.job, reported.attempt);
  else if (!is_intentional_exit(reported.cause))
    worker.failures.avoid_until = context_.now.steady + context_.settings.platform.report_s / 3;
  worker.running_since.erase(reported.task);
  changes_.add(reported.task, TaskChange::lost(worker.name, worker.partition, reported.attempt));
}

// Attributes a task failure to its machine or its job. A machine with repeated failures is marked
// faulty and returned to the cloud. A job that fails on several machines is delayed by its own
// backoff, and its failures do not count against the machines.
void Reconciler::record_failure(Worker& worker, const std::string& job, uint64_t attempt) {
  if (backoff_.record_failure(job, worker.name, attempt) == JobBackoff::Cause::kJob)
    return retract_failures(job);
  FailureRecord& failures = worker.failures;
  ++failures.consecutive_failures;
  failures.failed_jobs.insert(job);
  failures.avoid_until =
      context_.now.steady + context_.settings.platform.report_s * failures.consecutive_failures;
  if (failures.is_faulty || failures.consecutive_failures < kFaultyConsecutiveFailures ||
      failures.failed_jobs.size() < kFaultyDistinctJobs)
    return;
  failures.is_faulty = true;
  context_.info("agent",
                "machine {} is faulty and will be returned: tasks of several jobs failed on it",
                worker.name);
}

// Removes the job's failures from the failure records of all machines.
void Reconciler::retract_failures(const std::string& job) {
  for (auto& [name, worker] : workers_)
    if (worker.failures.failed_jobs.erase(job) != 0)
      worker.failures.consecutive_failures = std::max(0, worker.failures.consecutive_failures - 1);
}

}  // namespace rooksill::agent
