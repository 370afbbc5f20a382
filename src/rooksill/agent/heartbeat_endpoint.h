// HTTP endpoint for the periodic heartbeats of workers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "rooksill/agent/heartbeat_receiver.h"
#include "rooksill/agent/heartbeat_responder.h"
#include "rooksill/agent/renewal_permit.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/changes/owned_partitions.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::agent {

// Handles POST /agent/beat. Only a response with status 200 renews the lease of the worker's tasks:
//   200  accepted; the body carries commands for the worker
//   400  the request body is not a heartbeat
//   421  the worker belongs to another controller, whose label is in the body if it is known
//   503  retry later: this controller has not read all records of the store yet, has not finished
//        acquiring the partition, or may not renew leases now (RenewalPermit)
class HeartbeatEndpoint {
 public:
  // All references must outlive the endpoint.
  struct Dependencies {
    runtime::Context& context;
    const store::Replica& replica;
    const changes::OwnedPartitions& owned;
    WorkerTable& workers;
    HeartbeatReceiver& receiver;
    HeartbeatResponder& responder;
    const RenewalPermit& renewal_permit;
  };

  explicit HeartbeatEndpoint(const Dependencies& dependencies);

  // Replies to a request with the given body.
  void handle(uint64_t request, const std::string& body);
  // Returns the last worker that sent a heartbeat without being in any partition, and clears it.
  std::optional<wire::UnassignedMachine> extract_unassigned_machine();

 private:
  void reply_to_unassigned(uint64_t request, const wire::WorkerHeartbeat& heartbeat);
  void redirect_to_owner(uint64_t request, int partition);
  void accept(uint64_t request, Worker& worker, const wire::WorkerHeartbeat& heartbeat);
  void reply_retry_later(uint64_t request) {
    context_.reply(request, 503, "{}", kRetryAfterSeconds);
  }

  static constexpr double kRetryAfterSeconds = 1;

  runtime::Context& context_;
  const store::Replica& replica_;
  const changes::OwnedPartitions& owned_;
  WorkerTable& workers_;
  HeartbeatReceiver& receiver_;
  HeartbeatResponder& responder_;
  const RenewalPermit& renewal_permit_;
  std::optional<wire::UnassignedMachine> unassigned_machine_;
};

}  // namespace rooksill::agent
