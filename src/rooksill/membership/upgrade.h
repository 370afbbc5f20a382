// The upgrade from one version of rooksill to the next while processes of both are running. Each
// process records its version in the store when it starts. Once all controllers have recorded the
// present one, the leader writes the upgrade record. Only from then on is anything used that the
// version before does not know: gang jobs, lists split into more pages, messages in an envelope of
// the new version.
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

class Upgrade {
 public:
  Upgrade(runtime::Context& context, const store::Replica& replica, store::Committer& committer,
          const Peers& peers)
      : context_(context), replica_(replica), committer_(committer), peers_(peers) {}

  // Records this process's version; as the leader, writes the upgrade record when it is due.
  void tick(bool is_leader);
  // Whether every controller has the present version: a durable fact, never taken back.
  static bool is_complete(const store::Replica& replica) {
    return replica.upgrade.revision != model::kNoRevision &&
           replica.upgrade.version >= model::kPresentVersion;
  }

  // Whether a process that says it is ready was started with an older version after all controllers
  // had the present one. A process whose own record is known has the present version: it may not
  // have learned yet that all have, and still use the older envelopes.
  static bool is_running_older_version(const store::Replica& replica, const std::string& label,
                                 const Peer& peer);

 private:
  // The record that the store has for a controller; one of version 0 if there is none.
  model::VersionRecord recorded_version(const std::string& label) const;
  bool has_recorded_own_version() const;
  void record_version();
  void write_upgrade_record();
  // Whether the process that runs under this label is known to have recorded the present version.
  bool has_present_version(const std::string& label) const;
  void commit(const std::vector<store::Precondition>& preconditions, store::Write write);

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Committer& committer_;
  const Peers& peers_;
  bool is_write_pending_ = false;  // a write was sent, or its key is being read back
  double next_attempt_at_ = 0;     // steady seconds
};

}  // namespace rooksill::membership
