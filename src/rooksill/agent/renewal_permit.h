// Decides whether this controller may renew the leases of its workers' tasks.
#pragma once

#include "rooksill/membership/cancellations.h"
#include "rooksill/runtime/context.h"

namespace rooksill::agent {

// The response to a worker's heartbeat renews the lease of its tasks. A job may have been cancelled
// after the time up to which this controller knows all cancellations, and the tasks of a cancelled
// job must end within `cancel_s`. So the permit depends on the age of that knowledge. An outage of
// the store for all controllers, during which no job can be cancelled, does not extend it: another
// controller may have confirmed a cancellation just before the outage. See docs/safety.md for the
// full argument.
class RenewalPermit {
 public:
  // Both arguments must outlive the permit.
  RenewalPermit(runtime::Context& context, const membership::Cancellations& cancellations)
      : context_(context), cancellations_(cancellations) {}

  // Returns whether leases may be renewed now.
  bool is_granted() const;
  // Logs that the permit was granted or withdrawn since the last call.
  void log_change();

 private:
  // Returns the age of this controller's knowledge of all cancellations.
  double staleness_s() const;

  runtime::Context& context_;
  const membership::Cancellations& cancellations_;
  bool was_granted_ = false;  // at the last call of log_change()
};

}  // namespace rooksill::agent
