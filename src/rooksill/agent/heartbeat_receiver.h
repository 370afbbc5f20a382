// Takes over what a worker says of itself.
#pragma once

#include <functional>

#include "rooksill/agent/failure_detector.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::agent {

// A heartbeat comes as a report of the worker, or as its answer to a probe or a command.
class HeartbeatReceiver {
 public:
  // `on_accepted` is called after each heartbeat that told something new.
  HeartbeatReceiver(runtime::Context& context, const store::Replica& replica, WorkerTable& workers,
                    FailureDetector& failure_detector, std::function<void()> on_accepted);

  // Ignores late copies of older heartbeats: they carry older task lists.
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
