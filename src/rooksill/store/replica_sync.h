// Fills the replica from the store: all pages once, then the watch.
#pragma once

#include <string>

#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/replica.h"

namespace rooksill::store {

class ReplicaSync {
 public:
  ReplicaSync(runtime::Context& ctx, Replica& replica, Client& client)
      : ctx_(ctx), replica_(replica), client_(client) {}
  void tick();

 private:
  void list(const std::string& after);
  void watch();
  double pause() const;
  void on_page(const runtime::CallDone& done, const std::string& after);
  void on_watch(const runtime::CallDone& done);

  runtime::Context& ctx_;
  Replica& replica_;
  Client& client_;
  bool listed_ = false, busy_ = false, leader_seen_ = false;
  model::Revision revision_ = model::kNoRevision;
  double next_ = 0, asked_ = 0;
};

}  // namespace rooksill::store
