// The upgrade from one version of rooksill to the next while both serve. Each process records its
// version in the state service when it starts. Once all controllers have recorded the present one,
// the leader writes the upgrade record, and only from then on is anything used that the version
// before does not know: gang jobs, lists split into more pages, messages in an envelope of the new
// version.
#pragma once

#include "rooksill/core/context.h"
#include "rooksill/core/peers.h"
#include "rooksill/core/replica.h"
#include "rooksill/state/committer.h"

namespace rooksill::core {

class Upgrade {
 public:
  Upgrade(Context& ctx, Replica& replica, state::Committer& committer, Peers& peers)
      : ctx_(ctx), replica_(replica), committer_(committer), peers_(peers) {}

  // Records this process's version; as the leader, writes the upgrade record when it is due.
  void tick(bool leading);
  // Every controller has the present version: a durable fact, never taken back.
  static bool complete(const Replica& replica) {
    return replica.upgrade.stamp != 0 && replica.upgrade.version >= kPresentVersion;
  }

  // Whether a process that says it is ready was started with an older version after all had the
  // present one. One whose own record is known may only not have learned yet that all have.
  static bool runs_older_version(const Replica& replica, const std::string& label,
                                 const Peer& peer);

 private:
  void record_version();
  void write_upgrade();
  // Whether the process that runs under this label is known to have recorded the present version.
  bool has_present_version(const std::string& label) const;
  void commit(const std::vector<state::Guard>& guards, state::Write write);

  Context& ctx_;
  Replica& replica_;
  state::Committer& committer_;
  Peers& peers_;
  bool busy_ = false;
  double next_try_ = 0;
};

}  // namespace rooksill::core
