// Transactions whose result goes straight into the replica and out to the other controllers.
#pragma once

#include "rooksill/core/context.h"
#include "rooksill/core/replica.h"
#include "rooksill/net/peer_codec.h"
#include "rooksill/state/client.h"

namespace rooksill::state {

class Committer {
 public:
  Committer(core::Context& ctx, core::Replica& replica, Client& client)
      : ctx_(ctx), replica_(replica), client_(client) {}

  // As Client::txn; what was applied is in the replica before `done` runs.
  bool commit(const std::vector<Guard>& guards, std::vector<Write> writes, Client::TxnDone done);

  // Reads keys back until each is answered; then runs `done`. Used after an unknown outcome and
  // after a conflict: nothing is decided about these keys in the meantime.
  void refresh(std::vector<std::string> keys, std::function<void()> done);

  void tick();
  std::vector<net::Update> take_updates() { return std::exchange(updates_, {}); }

 private:
  struct Refresh {
    std::vector<std::string> keys;
    size_t answered = 0;
    bool busy = false;
    double next = 0;
    std::function<void()> done;
  };
  void advance(uint64_t id);

  core::Context& ctx_;
  core::Replica& replica_;
  Client& client_;
  std::vector<net::Update> updates_;
  std::map<uint64_t, Refresh> refreshes_;
  uint64_t next_id_ = 1;
};

}  // namespace rooksill::state
