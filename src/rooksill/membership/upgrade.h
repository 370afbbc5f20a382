// The upgrade from one version of rooksill to the next while both serve. Each process records its
// version in the store when it starts. Once all controllers have recorded the present one,
// the leader writes the upgrade record, and only from then on is anything used that the version
// before does not know: gang jobs, lists split into more pages, messages in an envelope of the new
// version.
#pragma once

#include <string>
#include <vector>

#include "rooksill/membership/peers.h"
#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::membership {

class Upgrade {
 public:
  Upgrade(runtime::Context& ctx, store::Replica& replica, store::Committer& committer, Peers& peers)
      : ctx_(ctx), replica_(replica), committer_(committer), peers_(peers) {}

  // Records this process's version; as the leader, writes the upgrade record when it is due.
  void tick(bool leading);
  // Every controller has the present version: a durable fact, never taken back.
  static bool complete(const store::Replica& replica) {
    return replica.upgrade.revision != model::kNoRevision &&
           replica.upgrade.version >= model::kPresentVersion;
  }

  // Whether a process that says it is ready was started with an older version after all had the
  // present one. One whose own record is known may only not have learned yet that all have.
  static bool runs_older_version(const store::Replica& replica, const std::string& label,
                                 const Peer& peer);

 private:
  void record_version();
  void write_upgrade();
  // Whether the process that runs under this label is known to have recorded the present version.
  bool has_present_version(const std::string& label) const;
  void commit(const std::vector<store::Precondition>& preconditions, store::Write write);

  runtime::Context& ctx_;
  store::Replica& replica_;
  store::Committer& committer_;
  Peers& peers_;
  bool busy_ = false;
  double next_try_ = 0;
};

}  // namespace rooksill::membership
