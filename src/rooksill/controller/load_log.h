// Periodic log line with the operation rates and queue lengths of this controller.
#pragma once

#include "rooksill/api/user_requests.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/interval_timer.h"
#include "rooksill/store/replica.h"

namespace rooksill::controller {

// Writes one line per sizing period (period_reports worker report intervals). The line contains
// enough to distinguish an overload from a fault.
class LoadLog {
 public:
  LoadLog(runtime::Context& context, const store::Replica& replica,
          partition::PartitionOwner& owner, const api::UserRequests& user_requests)
      : context_(context), replica_(replica), owner_(owner), user_requests_(user_requests) {}

  // Writes the line if a period has ended since the last one. Call it in every batch.
  void tick();

 private:
  // Writes the line and resets the counters it reports.
  void write(double period_s);

  runtime::Context& context_;
  const store::Replica& replica_;
  partition::PartitionOwner& owner_;
  const api::UserRequests& user_requests_;
  runtime::IntervalTimer timer_;
  bool first_period_ = true;
};

}  // namespace rooksill::controller
