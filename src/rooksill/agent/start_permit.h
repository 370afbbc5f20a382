// Decides whether this controller may send start commands to a worker.
#pragma once

#include "rooksill/agent/renewal_permit.h"
#include "rooksill/agent/worker.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"

namespace rooksill::agent {

// A worker whose agent has restarted has seen no fencing token and accepts commands from any
// controller, also from a former owner of its partition that does not know yet that it was
// replaced. So a start is sent only once the worker has reported one of this owner's tokens, and
// the store has answered a request that was sent after that agent's first heartbeat. An owner that
// was replaced before the agent started learns of it from the store; one that is replaced later is
// fenced by its successor's token.
class StartPermit {
 public:
  // All arguments must outlive the permit.
  StartPermit(const runtime::Context& context, const store::Replica& replica,
              const RenewalPermit& renewal_permit)
      : context_(context), replica_(replica), renewal_permit_(renewal_permit) {}

  // Returns whether tasks may be started on the worker now.
  bool is_granted(const Worker& worker) const;

 private:
  const runtime::Context& context_;
  const store::Replica& replica_;
  const RenewalPermit& renewal_permit_;
};

}  // namespace rooksill::agent
