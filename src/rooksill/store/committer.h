// Commits transactions and propagates their writes to the replica and to the other controllers.
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

// Applies committed writes to the local replica at once and collects them for the other
// controllers, so that no controller has to wait for its next watch to see them.
class Committer {
 public:
  // All arguments must outlive the committer.
  Committer(runtime::Context& context, Replica& replica, Client& client)
      : context_(context), replica_(replica), client_(client) {}

  // Sends a transaction as Client::transact() does, and returns false in the same case. If the
  // transaction is applied, its writes are in the replica before `done` runs.
  bool commit(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
              Client::TransactionHandler done);

  // Reads the keys into the replica, retrying until each read is conclusive, then runs `done`. Used
  // after a transaction with an unknown outcome and after a conflict: the caller makes no decision
  // about these keys until `done` runs.
  void refresh(std::vector<std::string> keys, std::function<void()> done);

  // Sends the reads of refresh() that are due.
  void tick();

  // Returns the writes committed since the last call, to be sent to the other controllers.
  std::vector<wire::StoreUpdate> pop_updates() { return std::exchange(updates_, {}); }

 private:
  // One call of refresh(). Its keys are read one after the other.
  struct Refresh {
    std::vector<std::string> keys;
    std::function<void()> done;
    size_t keys_read = 0;     // number of keys with a conclusive read
    bool is_reading = false;  // a read of the next key is in flight
    double next_read_at = 0;  // steady clock; no read is sent earlier
  };

  void record_writes(const std::vector<Write>& writes, model::Revision revision);
  // Sends the read of the next key, or completes the refresh after the last one.
  void read_next_key(uint64_t id);
  void on_read(uint64_t id, const std::string& key, const ReadResult& read);
  // Returns whether the result is valid and may be applied to the replica on its own.
  bool is_conclusive(const std::string& key, const ReadResult& read) const;

  runtime::Context& context_;
  Replica& replica_;
  Client& client_;
  std::vector<wire::StoreUpdate> updates_;  // not returned by pop_updates() yet
  std::map<uint64_t, Refresh> refreshes_;   // by the id of the refresh
  uint64_t next_id_ = 1;
};

}  // namespace rooksill::store
