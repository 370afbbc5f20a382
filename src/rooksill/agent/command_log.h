// Log lines and counters of the commands that are sent to workers.
#pragma once

#include <vector>

#include "rooksill/agent/worker.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::agent {

// Counts commands by kind (`start_commands`, `stop_commands`, `remove_commands`), and at level
// `debug` logs one line for each with what it was decided on: the worker's agent epoch and fencing
// token, the revisions of the task's shard and of the partition's lease, and the age of this
// controller's knowledge of the store.
class CommandLog {
 public:
  // Both arguments must outlive the log.
  CommandLog(runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  // Records commands that are about to be sent with the worker's current token.
  void record(const Worker& worker, const std::vector<wire::WorkerCommand>& commands);

 private:
  void write_line(const Worker& worker, const wire::WorkerCommand& command);
  model::Revision shard_revision(const model::TaskRef& task) const;

  runtime::Context& context_;
  const store::Replica& replica_;
};

}  // namespace rooksill::agent
