// Transactions whose result goes straight into the replica and on to the other controllers.
#pragma once

#include <cstddef>
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

// Spares this controller and the others the wait for the next watch.
class Committer {
 public:
  Committer(runtime::Context& ctx, Replica& replica, Client& client)
      : context_(ctx), replica_(replica), client_(client) {}

  // As Client::transact; what was applied is in the replica before `done` runs.
  bool commit(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
              Client::TransactionDone done);

  // Reads keys back until each is answered; then runs `done`. Used after an unknown outcome and
  // after a conflict: nothing is decided about these keys in the meantime.
  void refresh(std::vector<std::string> keys, std::function<void()> done);

  // Sends what is due of the reads.
  void tick();

  // What was written since the last call, for the other controllers.
  std::vector<wire::StoreUpdate> take_updates() { return std::exchange(updates_, {}); }

 private:
  // The keys of one refresh() are read one after the other.
  struct Refresh {
    std::vector<std::string> keys;
    std::function<void()> done;
    size_t answered = 0;     // of the keys
    bool reading = false;    // the next key
    double next_try_at = 0;  // by the steady clock
  };

  void record_writes(const std::vector<Write>& writes, model::Revision revision);
  void advance(uint64_t id);
  void on_read(uint64_t id, const std::string& key, const ReadResult& read);
  // Whether the answer settles what the key is now.
  bool usable(const std::string& key, const ReadResult& read) const;

  runtime::Context& context_;
  Replica& replica_;
  Client& client_;
  std::vector<wire::StoreUpdate> updates_;
  std::map<uint64_t, Refresh> refreshes_;
  uint64_t next_id_ = 1;
};

}  // namespace rooksill::store
