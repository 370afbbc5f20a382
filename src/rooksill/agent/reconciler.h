// Reconciles the tasks that workers report with the state in the store.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rooksill/agent/gang_attempts.h"
#include "rooksill/agent/job_backoff.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/changes/owned_partitions.h"
#include "rooksill/changes/task_change_queue.h"
#include "rooksill/model/job.h"
#include "rooksill/placement/evicted_tasks.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::agent {

// Turns each difference into either a command to the worker or a change of the task's state. A task
// with a change in the queue is skipped until the change is written to the store.
//
// A report that a task is absent or has exited is trusted only if the worker executes no earlier
// command any more (is_task_list_final): such a command might start the task again.
class Reconciler {
 public:
  // Returns whether the team uses more than its quota share in the worker's partition.
  using QuotaCheck = std::function<bool(const std::string& team, Worker&)>;

  // All references must outlive the reconciler.
  struct Dependencies {
    runtime::Context& context;
    const store::Replica& replica;
    const changes::OwnedPartitions& owned;
    changes::TaskChangeQueue& changes;
    WorkerTable& workers;
    placement::EvictedTasks& evicted;
    JobBackoff& backoff;
  };

  // `exceeds_quota` is called before a task is started in place.
  Reconciler(const Dependencies& dependencies, QuotaCheck exceeds_quota);

  // Returns the commands that the worker has to execute, and adds changes of task states to the
  // queue, where later steps of the same pass see them.
  std::vector<wire::WorkerCommand> reconcile(Worker& worker);

 private:
  using OptionalCommand = std::optional<wire::WorkerCommand>;

  // Whether the reported attempt is the one that the store places on this worker.
  bool is_placed_on(const Worker& worker, const wire::ReportedTask& reported) const;
  OptionalCommand reconcile_unexpected(const Worker& worker,
                                       const wire::ReportedTask& reported) const;
  void log_unexpected(const Worker& worker, const wire::ReportedTask& reported) const;
  OptionalCommand reconcile_reported(Worker& worker, const wire::ReportedTask& reported);
  void reconcile_exited(Worker& worker, const wire::ReportedTask& reported);
  OptionalCommand reconcile_unreported(Worker& worker, const model::TaskRef& ref);

  OptionalCommand stop_if_needed(const Worker& worker, const wire::ReportedTask& reported,
                                 const model::Job& job);
  bool can_restart(Worker& worker, const model::TaskRef& ref, const model::Job& job);
  bool can_complete_in_time(const Worker& worker, const wire::ReportedTask& reported,
                            const model::JobSpec& spec) const;

  void record_loss(Worker& worker, const wire::ReportedTask& reported);
  void record_failure(Worker& worker, const std::string& job, uint64_t attempt);
  void retract_failures(const std::string& job);

  runtime::Context& context_;
  const store::Replica& replica_;
  const changes::OwnedPartitions& owned_;
  changes::TaskChangeQueue& changes_;
  WorkerTable& workers_;
  placement::EvictedTasks& evicted_;
  JobBackoff& backoff_;
  QuotaCheck exceeds_quota_;
  GangAttempts gangs_;
};

// Limits the size of one message to a worker. The remaining commands follow in the next one.
inline constexpr size_t kMaxCommandsPerMessage = 512;

// Returns whether there is a start command.
bool has_starts(const std::vector<wire::WorkerCommand>& commands);
// Removes the start commands and returns how many there were.
size_t remove_starts(std::vector<wire::WorkerCommand>& commands);

}  // namespace rooksill::agent
