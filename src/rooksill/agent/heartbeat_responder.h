// Answers the heartbeats of workers with commands.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/agent/command_log.h"
#include "rooksill/agent/reconciler.h"
#include "rooksill/agent/renewal_permit.h"
#include "rooksill/agent/start_permit.h"
#include "rooksill/agent/worker.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/changes/owned_partitions.h"
#include "rooksill/runtime/context.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::agent {

// Chooses the commands in the response to a heartbeat, and the time of the response. The response
// is the only message that starts tasks: a worker never executes it late or twice, and one whose
// agent has restarted waits for none.
//
// A response is held back for a moment while a task may be placed on the machine, so that the start
// does not have to wait for the worker's next heartbeat.
class HeartbeatResponder {
 public:
  // Returns whether the next placement pass has yet to consider a heartbeat that was received at
  // this time of the steady clock.
  using PlacementCheck = std::function<bool(double received_at)>;

  // All references must outlive the responder.
  struct Dependencies {
    runtime::Context& context;
    const changes::OwnedPartitions& owned;
    WorkerTable& workers;
    Reconciler& reconciler;
    const RenewalPermit& renewal_permit;
    const StartPermit& start_permit;
    CommandLog& command_log;
  };

  HeartbeatResponder(const Dependencies& dependencies, PlacementCheck expects_placement);

  // Answers a heartbeat that was applied to the worker, now or later. `is_newest`: no newer
  // heartbeat of the worker was received before.
  void respond(uint64_t request, Worker& worker, bool is_newest);
  // Sends the responses that are due. Must be called after each placement pass and whenever time
  // has passed.
  void send_due();

 private:
  // A heartbeat that is not answered yet.
  struct HeldResponse {
    uint64_t request = 0;
    HeartbeatVersion version;
    double received_at = 0;
  };

  bool is_valid(const HeldResponse& held, const Worker* worker) const;
  bool is_due(const HeldResponse& held, const Worker& worker,
              const std::vector<wire::WorkerCommand>& commands) const;
  bool is_expired(const HeldResponse& held) const;
  void reply(uint64_t request, Worker& worker, std::vector<wire::WorkerCommand> commands,
             bool may_start);
  void reply_retry_later(uint64_t request);

  runtime::Context& context_;
  const changes::OwnedPartitions& owned_;
  WorkerTable& workers_;
  Reconciler& reconciler_;
  const RenewalPermit& renewal_permit_;
  const StartPermit& start_permit_;
  CommandLog& command_log_;
  PlacementCheck expects_placement_;
  std::unordered_map<std::string, HeldResponse> held_;  // by machine name
};

}  // namespace rooksill::agent
