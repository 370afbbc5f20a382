// Transfers of a team's limit from a block held here to another block.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "rooksill/core/context.h"
#include "rooksill/core/replica.h"
#include "rooksill/net/peer_codec.h"
#include "rooksill/state/committer.h"

namespace rooksill::core {

// One transaction, written by the holder of the block that gives, takes an amount from one block's
// share and adds it to another's, so that the state's division never exceeds the limit. It guards
// the division it was decided on and the giver's lease. From the decision until the outcome is
// certain the amount counts as gone for the giver; the receiver has it once it is in the state.
class LimitTransfers {
 public:
  // Whether this process holds a block under the lease with that revision.
  using Holds = std::function<bool(int block, uint64_t lease)>;

  LimitTransfers(Context& ctx, Replica& replica, state::Committer& committer)
      : ctx_(ctx), replica_(replica), committer_(committer) {}

  // Begins a transfer of at most what is unused of the giver's share. One at a time for each team.
  void start(const net::LimitTransfer& transfer, const LimitShare& unused);
  // Sends again what has no certain outcome, and forgets what can no longer be carried out.
  void tick(const Holds& holds);
  // What is to leave the block, and may have left it already.
  LimitShare leaving(const std::string& team, int block) const;

 private:
  struct Pending {
    int from = 0, to = 0;
    LimitShare amount;
    uint64_t stamp = 0, lease = 0;  // that the transaction guards
    bool busy = false;              // sent, or being read back
    bool uncertain = false;         // a transaction without an answer may yet be carried out
  };
  void send(const std::string& team, Pending& pending);
  void settle(const std::string& team, const state::TxnResult& result);
  uint64_t stamp_of(const std::string& team) const;

  Context& ctx_;
  Replica& replica_;
  state::Committer& committer_;
  std::map<std::string, Pending> pending_;  // by team
};

}  // namespace rooksill::core
