// Transactions whose result goes straight into the replica and out to the other controllers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::store {

class Committer {
 public:
  Committer(runtime::Context& ctx, Replica& replica, Client& client)
      : ctx_(ctx), replica_(replica), client_(client) {}

  // As Client::txn; what was applied is in the replica before `done` runs.
  bool commit(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
              Client::TransactionDone done);

  // Reads keys back until each is answered; then runs `done`. Used after an unknown outcome and
  // after a conflict: nothing is decided about these keys in the meantime.
  void refresh(std::vector<std::string> keys, std::function<void()> done);

  void tick();
  std::vector<wire::Update> take_updates() { return std::exchange(updates_, {}); }

 private:
  struct Refresh {
    std::vector<std::string> keys;
    size_t answered = 0;
    bool busy = false;
    double next = 0;
    std::function<void()> done;
  };
  void advance(uint64_t id);

  runtime::Context& ctx_;
  Replica& replica_;
  Client& client_;
  std::vector<wire::Update> updates_;
  std::map<uint64_t, Refresh> refreshes_;
  uint64_t next_id_ = 1;
};

}  // namespace rooksill::store
