// Sends direct commands to workers.
#pragma once

#include <string>
#include <vector>

#include "rooksill/agent/command_log.h"
#include "rooksill/agent/heartbeat_receiver.h"
#include "rooksill/agent/reconciler.h"
#include "rooksill/agent/start_permit.h"
#include "rooksill/agent/worker.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::agent {

// Sends urgent commands to workers immediately; all others are delivered with the response to the
// worker's next heartbeat. At most one request is in flight to a worker at a time.
//
// A request may be executed late or repeatedly, also by an agent that has restarted under the
// machine's name and accepts any fencing token. So no request starts a task. Instead, a worker that
// is to start tasks is made to send its next heartbeat now: by a change of its tasks, or by a
// higher token.
class CommandSender {
 public:
  // All references must outlive the sender.
  struct Dependencies {
    runtime::Context& context;
    const store::Replica& replica;
    WorkerTable& workers;
    HeartbeatReceiver& receiver;
    Reconciler& reconciler;
    const StartPermit& start_permit;
    CommandLog& command_log;
  };

  explicit CommandSender(const Dependencies& dependencies);

  // Reconciles the workers that changed since the last call and sends their urgent commands.
  void send_urgent();

 private:
  // A request to a worker without a response yet.
  struct InFlightCommand {
    std::string machine;
    model::FencingToken token;
    HeartbeatVersion sent_after;  // version of the worker's latest heartbeat when it was sent
  };

  void process_changed(Worker& worker);
  bool can_send_to(const Worker& worker) const;
  void request_heartbeat(Worker& worker, const std::vector<wire::WorkerCommand>& starts,
                         const std::vector<wire::WorkerCommand>& removals);
  bool has_urgent_start(const std::vector<wire::WorkerCommand>& starts) const;
  void retry_later(Worker& worker);
  void send(Worker& worker, const std::vector<wire::WorkerCommand>& commands);
  void on_call_done(const InFlightCommand& command, const runtime::CallDone& done);
  void on_acknowledged(Worker& worker, const InFlightCommand& command, int status,
                       const wire::WorkerHeartbeat& heartbeat);
  void on_not_acknowledged(Worker& worker);

  runtime::Context& context_;
  const store::Replica& replica_;
  WorkerTable& workers_;
  HeartbeatReceiver& receiver_;
  Reconciler& reconciler_;
  const StartPermit& start_permit_;
  CommandLog& command_log_;
  int commands_in_flight_ = 0;
};

}  // namespace rooksill::agent
