// Whether this controller may let its workers' tasks go on.
#pragma once

#include "rooksill/membership/cancellations.h"
#include "rooksill/runtime/context.h"

namespace rooksill::agent {

// An answer to a worker's report lets its tasks live for another lease. A job may have been
// cancelled since this controller last knew of all cancellations, and the job's tasks have to be
// gone within `cancel_s` then. That nobody can cancel anything now, since the store is away for
// all, says nothing of what another controller confirmed just before. docs/safety.md has the
// argument.
class RenewalPermit {
 public:
  RenewalPermit(const runtime::Context& context, const membership::Cancellations& cancellations)
      : context_(context), cancellations_(cancellations) {}

  bool is_granted() const;

 private:
  const runtime::Context& context_;
  const membership::Cancellations& cancellations_;
};

}  // namespace rooksill::agent
