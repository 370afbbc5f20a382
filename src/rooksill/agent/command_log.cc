#include "rooksill/agent/command_log.h"

#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/wire/names.h"

namespace rooksill::agent {

namespace {
using wire::WorkerCommand;

const char* name_of(WorkerCommand::Op op) {
  switch (op) {
    case WorkerCommand::Op::kStart:
      return "start";
    case WorkerCommand::Op::kStop:
      return "stop";
    case WorkerCommand::Op::kRemove:
      break;
  }
  return "remove";
}

const char* counter_name(WorkerCommand::Op op) {
  switch (op) {
    case WorkerCommand::Op::kStart:
      return "start_commands";
    case WorkerCommand::Op::kStop:
      return "stop_commands";
    case WorkerCommand::Op::kRemove:
      break;
  }
  return "remove_commands";
}
}  // namespace

void CommandLog::record(const Worker& worker, const std::vector<WorkerCommand>& commands) {
  for (const WorkerCommand& command : commands) {
    context_.count(counter_name(command.op));
    if (context_.is_debug_log_enabled()) write_line(worker, command);
  }
}

void CommandLog::write_line(const Worker& worker, const WorkerCommand& command) {
  const model::PartitionLease& lease = replica_.leases[static_cast<size_t>(worker.partition)];
  context_.debug("agent",
                 "machine {}: {} task {} attempt {}: agent epoch {}, fencing token {}, shard "
                 "revision {}, lease revision {}, store read {:.2f} s ago",
                 worker.name, name_of(command.op), wire::task_name(command.task), command.attempt,
                 worker.version.agent_epoch, model::number(worker.tokens.current()),
                 model::number(shard_revision(command.task)), model::number(lease.revision),
                 context_.now.steady - replica_.synced_at);
}

// Returns kNoRevision if the store has no such shard.
model::Revision CommandLog::shard_revision(const model::TaskRef& task) const {
  const model::Job* job = replica_.job(task.job);
  if (job == nullptr) return model::kNoRevision;
  const uint32_t shard = job->shard_of(task.index).index;
  return shard < job->shards.size() ? job->shards[shard].revision : model::kNoRevision;
}

}  // namespace rooksill::agent
