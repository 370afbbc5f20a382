#include "rooksill/api/user_requests.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "rooksill/wire/names.h"
#include "rooksill/wire/user_codec.h"

namespace rooksill::api {

namespace {
constexpr std::string_view kJobsPath = "/api/jobs";
constexpr std::string_view kJobPrefix = "/api/jobs/";
constexpr std::string_view kCancelSuffix = "/cancel";

// Fraction of this controller's writes per second that is reserved for queued submissions. They
// have the lowest priority and would be starved otherwise.
constexpr double kReservedWriteRatio = 0.3;
}  // namespace

UserRequests::UserRequests(runtime::Context& context, store::Replica& replica,
                           store::Client& client, store::Committer& committer)
    : context_(context),
      client_(client),
      responder_(context, replica),
      lookup_(replica, client, responder_),
      polls_(context, replica, client, responder_, lookup_),
      submissions_(context, replica, client, committer, responder_, lookup_, polls_),
      canceller_(context, replica, committer, responder_, lookup_) {}

void UserRequests::handle(const runtime::Request& request) {
  if (request.target == kJobsPath) return handle_collection(request);
  if (request.target.starts_with(kJobPrefix))
    return handle_job(request, request.target.substr(kJobPrefix.size()));
  responder_.reply_error(request.id, 404, "no such path");
}

void UserRequests::handle_collection(const runtime::Request& request) {
  if (request.method != "POST") return responder_.reply_error(request.id, 405, "use POST");
  submissions_.submit(request);
}

// `path`: the target after kJobPrefix, either ID or ID/cancel.
void UserRequests::handle_job(const runtime::Request& request, std::string path) {
  const bool is_cancellation = path.size() > kCancelSuffix.size() && path.ends_with(kCancelSuffix);
  if (is_cancellation) path.resize(path.size() - kCancelSuffix.size());
  const std::string& id = path;
  const std::string allowed_method = is_cancellation ? "POST" : "GET";
  if (id.find('/') != std::string::npos)
    return responder_.reply_error(request.id, 404, "no such path");
  if (request.method != allowed_method)
    return responder_.reply_error(request.id, 405, "use " + allowed_method);
  if (!wire::is_valid_job_id(id)) return responder_.reply_error(request.id, 404, "no such job");
  if (is_cancellation)
    canceller_.cancel(request.id, id);
  else
    polls_.poll(request.id, id);
}

void UserRequests::flush() {
  submissions_.flush();
  const PlatformSettings& platform = context_.settings.platform;
  const double max_reserved =
      kReservedWriteRatio * platform.store_writes_per_s / platform.controller_count;
  client_.set_reserved_writes(std::min(static_cast<double>(submissions_.size()), max_reserved));
  polls_.flush();
}

}  // namespace rooksill::api
