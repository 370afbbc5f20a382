// Sends direct commands to workers.
#pragma once

#include <string>
#include <vector>

#include "rooksill/agent/command_log.h"
#include "rooksill/agent/heartbeat_receiver.h"
#include "rooksill/agent/reconciler.h"
#include "rooksill/agent/renewal_permit.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::agent {

// Sends urgent commands to workers immediately; all others are delivered with the response to the
// worker's next heartbeat. At most one request is in flight to a worker at a time.
//
// A request that was not acknowledged may be executed later. If it starts tasks, the worker's
// fencing token is increased: once the worker has seen the higher token, it rejects the old
// request.
class CommandSender {
 public:
  // All references must outlive the sender.
  struct Dependencies {
    runtime::Context& context;
    const store::Replica& replica;
    WorkerTable& workers;
    HeartbeatReceiver& receiver;
    Reconciler& reconciler;
    const RenewalPermit& renewal_permit;
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
    bool has_starts;
  };

  void process_changed(Worker& worker);
  bool can_send_to(const Worker& worker) const;
  bool can_start_tasks() const;
  void defer_starts(Worker& worker, std::vector<wire::WorkerCommand>& commands);
  void send(Worker& worker, const std::vector<wire::WorkerCommand>& commands);
  void on_call_done(const InFlightCommand& command, const runtime::CallDone& done);
  void on_acknowledged(Worker& worker, int status, const wire::WorkerHeartbeat& heartbeat);
  void on_not_acknowledged(Worker& worker, const InFlightCommand& command,
                           bool is_connection_refused);

  runtime::Context& context_;
  const store::Replica& replica_;
  WorkerTable& workers_;
  HeartbeatReceiver& receiver_;
  Reconciler& reconciler_;
  const RenewalPermit& renewal_permit_;
  CommandLog& command_log_;
  int commands_in_flight_ = 0;
};

}  // namespace rooksill::agent
