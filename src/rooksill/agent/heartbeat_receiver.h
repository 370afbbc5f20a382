// Applies received heartbeats to the worker table.
#pragma once

#include <functional>

#include "rooksill/agent/failure_detector.h"
#include "rooksill/agent/worker.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::agent {

// Updates a worker from its heartbeats. A heartbeat is either sent periodically by the worker or
// returned in its response to a probe or a command. Delayed copies of older heartbeats, whose task
// lists are stale, are ignored.
//
// Also detects that a worker's agent has restarted under its machine's name: its versions and its
// fencing token begin anew, and its tasks are gone.
class HeartbeatReceiver {
 public:
  // `on_accepted` is called after each heartbeat that was not a duplicate or outdated. All
  // references must outlive the receiver.
  HeartbeatReceiver(runtime::Context& context, const store::Replica& replica, WorkerTable& workers,
                    FailureDetector& failure_detector, std::function<void()> on_accepted);

  // Applies a heartbeat that the worker sent on its own schedule, and marks the worker as changed.
  // Returns whether it is the worker's newest one. One that is not may be a delayed copy, or the
  // first sign of a restarted agent: the worker is probed to distinguish them.
  bool accept_periodic(Worker& worker, const wire::WorkerHeartbeat& heartbeat);
  // Applies the heartbeat in the response to a probe or a command, and marks the worker as changed.
  // `sent_after`: the version of the worker's latest heartbeat when the request was sent.
  void accept_response(Worker& worker, const wire::WorkerHeartbeat& heartbeat,
                       HeartbeatVersion sent_after);

 private:
  static bool is_outdated(const Worker& worker, const wire::WorkerHeartbeat& heartbeat);
  void apply(Worker& worker, const wire::WorkerHeartbeat& heartbeat);
  void record_agent_restart(Worker& worker, const wire::WorkerHeartbeat& heartbeat);
  void record_termination_notice(Worker& worker, const wire::WorkerHeartbeat& heartbeat);
  void update_image_cache(Worker& worker);

  runtime::Context& context_;
  const store::Replica& replica_;
  WorkerTable& workers_;
  FailureDetector& failure_detector_;
  std::function<void()> on_accepted_;
};

}  // namespace rooksill::agent
