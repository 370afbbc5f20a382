// Applies received heartbeats to the worker table.
#pragma once

#include <functional>

#include "rooksill/agent/failure_detector.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::agent {

// Updates a worker from its heartbeats. A heartbeat is either sent periodically by the worker or
// returned in its response to a probe or a command.
class HeartbeatReceiver {
 public:
  // `on_accepted` is called after each heartbeat that was not a duplicate or outdated. All
  // references must outlive the receiver.
  HeartbeatReceiver(runtime::Context& context, const store::Replica& replica, WorkerTable& workers,
                    FailureDetector& failure_detector, std::function<void()> on_accepted);

  // Applies the heartbeat to the worker and marks the worker as changed. Ignores delayed copies of
  // older heartbeats, whose task lists are stale.
  void accept(Worker& worker, const wire::WorkerHeartbeat& heartbeat);

 private:
  void record_termination_notice(Worker& worker, const wire::WorkerHeartbeat& heartbeat);
  void update_image_cache(Worker& worker);

  runtime::Context& context_;
  const store::Replica& replica_;
  WorkerTable& workers_;
  FailureDetector& failure_detector_;
  std::function<void()> on_accepted_;
};

}  // namespace rooksill::agent
