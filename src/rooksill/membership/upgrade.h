// Rolling upgrade from one version of rooksill to the next, with processes of both running. Each
// process records its version in the store when it starts. Once all controllers have recorded the
// present version, the leader writes the upgrade record. Features that the previous version does
// not support are used only after that: gang jobs, machine lists split into more pages, and
// envelopes of the new version.
#pragma once

#include <string>
#include <vector>

#include "rooksill/membership/peers.h"
#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::membership {

// Records versions in the store and determines whether the upgrade to the present one is complete.
class Upgrade {
 public:
  Upgrade(runtime::Context& context, const store::Replica& replica, store::Committer& committer,
          const Peers& peers)
      : context_(context), replica_(replica), committer_(committer), peers_(peers) {}

  // Records this process's version in the store; on the leader, writes the upgrade record once all
  // controllers have recorded the present version. Failed writes are retried. Does nothing after
  // the upgrade is complete.
  void tick(bool is_leader);
  // Returns whether every controller has recorded the present version. Durable: once true, it
  // stays true.
  static bool is_complete(const store::Replica& replica) {
    return replica.upgrade.revision != model::kNoRevision &&
           replica.upgrade.version >= model::kPresentVersion;
  }

  // Returns whether a peer that reports to be ready runs an older version although the upgrade is
  // complete, that is, was restarted with the older version. A process that has recorded its own
  // incarnation is never counted as older: it may still send old envelopes because it has not
  // learned yet that the upgrade is complete.
  static bool is_running_older_version(const store::Replica& replica, const std::string& label,
                                       const Peer& peer);

 private:
  // Returns the controller's version record, or one with version 0 if the store has none.
  model::VersionRecord recorded_version(const std::string& label) const;
  bool has_recorded_own_version() const;
  void record_version();
  void write_upgrade_record();
  // Returns whether the process that runs under this label has recorded the present version.
  bool has_present_version(const std::string& label) const;
  void commit(const std::vector<store::Precondition>& preconditions, store::Write write);

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Committer& committer_;
  const Peers& peers_;
  bool is_write_pending_ = false;  // a write or the read after it has no result yet
  double next_attempt_at_ = 0;     // steady seconds
};

}  // namespace rooksill::membership
