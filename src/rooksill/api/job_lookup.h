// Reads single jobs from the store that are missing from the replica or may be stale in it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "rooksill/api/responder.h"
#include "rooksill/store/client.h"
#include "rooksill/store/replica.h"

namespace rooksill::api {

// Reads jobs for users' requests. The number of pending reads is bounded. If a read cannot be sent
// or gets no response, the request is answered with 503.
class JobLookup {
 public:
  // Continues a request after its read.
  using Handler = std::function<void()>;

  JobLookup(store::Replica& replica, store::Client& client, Responder& responder)
      : replica_(replica), client_(client), responder_(responder) {}

  // Reads the job and runs `on_found` once it is in the replica; replies 404 if the store has no
  // such job.
  void read(uint64_t request, const std::string& id, Handler on_found);
  // As above, but runs `on_absent` if the store has no such job.
  void read(uint64_t request, const std::string& id, Handler on_found, Handler on_absent);

 private:
  store::Replica& replica_;
  store::Client& client_;
  Responder& responder_;
  size_t pending_reads_ = 0;
};

}  // namespace rooksill::api
