// Fills the replica from the state service: all pages once, then the watch.
#pragma once

#include "rooksill/core/context.h"
#include "rooksill/core/replica.h"
#include "rooksill/state/client.h"

namespace rooksill::state {

class Syncer {
 public:
  Syncer(core::Context& ctx, core::Replica& replica, Client& client)
      : ctx_(ctx), replica_(replica), client_(client) {}
  void tick();

 private:
  void list(const std::string& after);
  void watch();
  double pause() const;
  void on_page(const core::CallDone& done, const std::string& after);
  void on_watch(const core::CallDone& done);

  core::Context& ctx_;
  core::Replica& replica_;
  Client& client_;
  bool listed_ = false, busy_ = false, leader_seen_ = false;
  uint64_t epoch_ = 0;
  double next_ = 0, asked_ = 0;
};

}  // namespace rooksill::state
