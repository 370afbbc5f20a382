#include "rooksill/agent/start_permit.h"

#include <algorithm>

namespace rooksill::agent {

// After this process was suspended, or after a long time without the store, the replica may be
// stale: the job may have been cancelled or the task placed on another machine.
bool StartPermit::is_granted(const Worker& worker) const {
  const double replica_required_since =
      std::max(context_.resumed_at, worker.starts.first_heartbeat_at);
  return worker.tokens.are_earlier_commands_fenced() &&
         replica_.synced_at >= replica_required_since && renewal_permit_.is_granted();
}

}  // namespace rooksill::agent
