#include "rooksill/api/job_lookup.h"

#include <utility>

#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::api {

namespace {
constexpr size_t kMaxReads = 64;
}  // namespace

void JobLookup::read(uint64_t request, const std::string& id, Handler found) {
  read(request, id, std::move(found),
       [this, request] { responder_.reply_error(request, 404, "no such job"); });
}

void JobLookup::read(uint64_t request, const std::string& id, Handler found, Handler absent) {
  if (reads_under_way_ >= kMaxReads) return responder_.reply_retry(request);
  const std::string key = wire::job_key(id);
  const bool sent =
      client_.read(key, [this, request, id, key, found = std::move(found),
                         absent = std::move(absent)](const store::ReadResult& result) {
        --reads_under_way_;
        if (result.status == store::ReadStatus::kFailed) return responder_.reply_retry(request);
        if (result.status == store::ReadStatus::kFound)
          replica_.apply(key, result.value, result.revision);
        if (replica_.job(id) != nullptr) return found();
        absent();
      });
  if (!sent) return responder_.reply_retry(request);
  ++reads_under_way_;
}

}  // namespace rooksill::api
