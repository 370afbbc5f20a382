#include "rooksill/api/job_lookup.h"

#include <utility>

#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::api {

namespace {
constexpr size_t kMaxPendingReads = 64;
}  // namespace

void JobLookup::read(uint64_t request, const std::string& id, Handler on_found) {
  read(request, id, std::move(on_found),
       [this, request] { responder_.reply_error(request, 404, "no such job"); });
}

void JobLookup::read(uint64_t request, const std::string& id, Handler on_found, Handler on_absent) {
  if (pending_reads_ >= kMaxPendingReads) return responder_.reply_retry(request);
  const std::string key = wire::job_key(id);
  const bool sent =
      client_.read(key, [this, request, id, key, on_found = std::move(on_found),
                         on_absent = std::move(on_absent)](const store::ReadResult& result) {
        --pending_reads_;
        if (result.status == store::ReadStatus::kFailed) return responder_.reply_retry(request);
        if (result.status == store::ReadStatus::kFound)
          replica_.apply(key, result.value, result.revision);
        if (replica_.job(id) != nullptr) return on_found();
        on_absent();
      });
  if (!sent) return responder_.reply_retry(request);
  ++pending_reads_;
}

}  // namespace rooksill::api
