// Keeps the replica up with the store.
#pragma once

#include <optional>
#include <string>

#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/decoded.h"
#include "rooksill/wire/store_protocol_codec.h"

namespace rooksill::store {

// Lists all keys once, page by page, and watches their changes from then on. Lists them again if
// the store has forgotten the changes since the last watch. One request is under way at a time.
class ReplicaSync {
 public:
  ReplicaSync(runtime::Context& ctx, Replica& replica, Client& client)
      : ctx_(ctx), replica_(replica), client_(client) {}

  // Sends the next request when it is due.
  void tick();

 private:
  // Asks for the keys after that one; empty: from the first one on.
  void list(const std::string& after);
  void on_page(const runtime::CallDone& done, const std::string& after);
  void on_last_page();
  void watch();
  void on_watch(const runtime::CallDone& done);
  double pause() const;
  // What an answer holds; nothing if there is none, or one that is not understood.
  template <typename T>
  std::optional<T> decoded(const runtime::CallDone& done,
                           wire::Decoded<T> (*decode)(const std::string&));

  runtime::Context& ctx_;
  Replica& replica_;
  Client& client_;
  bool listed_ = false;       // all pages were read, and no watch has failed for good since
  bool busy_ = false;         // a request is under way
  bool leader_seen_ = false;  // the leader's key was in a page of this listing
  model::Revision revision_ = model::kNoRevision;  // changes up to here have been applied
  double next_ = 0;                                // no request before then, by the steady clock
  double asked_ = 0;                               // when the last watch was sent
};

}  // namespace rooksill::store
