// Reads single jobs from the store that the replica does not have, or may have in an old state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "rooksill/api/responder.h"
#include "rooksill/store/client.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

// The number of reads under way is bounded. A request whose read cannot be made, or has no answer,
// gets 503.
class JobLookup {
 public:
  using Handler = std::function<void()>;

  JobLookup(store::Replica& replica, store::Client& client, Responder& responder)
      : replica_(replica), client_(client), responder_(responder) {}

  // Runs `found` once the job is in the replica; replies 404 if the store has no such job.
  void read(uint64_t request, const std::string& id, Handler on_found);
  // Runs `absent` if the store has no such job.
  void read(uint64_t request, const std::string& id, Handler on_found, Handler on_absent);

 private:
  store::Replica& replica_;
  store::Client& client_;
  Responder& responder_;
  size_t pending_reads_ = 0;
};

}  // namespace rooksill::api
