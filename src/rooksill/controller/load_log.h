// The periodic line in the log that tells what this controller does and how much is queued.
#pragma once

#include "rooksill/api/user_requests.h"
#include "rooksill/partition/partition_owner.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/interval_timer.h"
#include "rooksill/store/replica.h"

namespace rooksill::controller {

// One line per sizing period. It is enough to tell an overload from a fault.
class LoadLog {
 public:
  LoadLog(runtime::Context& context, const store::Replica& replica,
          partition::PartitionOwner& owner, const api::UserRequests& user_requests)
      : context_(context), replica_(replica), owner_(owner), user_requests_(user_requests) {}

  // Writes the line if it is due.
  void tick();

 private:
  void write(double period_s);

  runtime::Context& context_;
  const store::Replica& replica_;
  partition::PartitionOwner& owner_;
  const api::UserRequests& user_requests_;
  runtime::IntervalTimer timer_;
  bool first_period_ = true;
};

}  // namespace rooksill::controller
