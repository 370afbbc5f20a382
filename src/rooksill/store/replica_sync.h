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
      : context_(ctx), replica_(replica), client_(client) {}

  // Sends the next request when it is due.
  void tick();

 private:
  // Asks for the keys after that one; empty: from the first one on.
  void list(const std::string& after);
  void on_page(const runtime::CallDone& response, const std::string& after);
  void on_last_page();
  void watch();
  void on_watch(const runtime::CallDone& response);
  double watch_interval_s() const;
  // What an answer holds; nothing if there is none, or one that is not understood.
  template <typename T>
  std::optional<T> decode_response(const runtime::CallDone& response,
                           wire::Decoded<T> (*decode)(const std::string&));

  runtime::Context& context_;
  Replica& replica_;
  Client& client_;
  bool is_listing_complete_ = false;       // all pages were read, and no watch has failed for good since
  bool has_pending_request_ = false;         // a request is under way
  bool has_leader_key_ = false;  // the leader's key was in a page of this listing
  model::Revision revision_ = model::kNoRevision;  // changes up to here have been applied
  double next_request_at_ = 0;                                // no request before then, by the steady clock
  double watch_sent_at_ = 0;                               // when the last watch was sent
};

}  // namespace rooksill::store
