#include "standins/unexpected_requests.h"

#include <algorithm>
#include <iterator>

namespace standins {

using nlohmann::json;

namespace {

constexpr double kRequestIntervalSeconds = 0.3;
constexpr double kTooManyCpus = 1e6;  // more than any machine type has

struct InvalidJob {
  json body;
  int expected_status = 0;
};

InvalidJob make_invalid(json body, uint64_t variant) {
  switch (variant) {
    case 0:
      body["cores"] = kTooManyCpus;
      return {body, 422};
    case 1:
      body["owner"] = "nobody";
      return {body, 422};
    case 2:
      body.erase("rank");
      return {body, 400};
    default:
      body["pieces"] = -1;
      return {body, 400};
  }
}

}  // namespace

void UnexpectedRequests::send_until(double time) {
  const bool sending = until_ > simulation_.now();
  until_ = std::max(until_, time);
  if (!sending) send_next();
}

void UnexpectedRequests::send_next() {
  if (simulation_.now() >= until_) return;
  simulation_.events.after(kRequestIntervalSeconds, [this] { send_next(); });
  const auto controller = cluster_.random_ready_controller();
  if (!controller || jobs_.empty()) return;
  const UserJob& job =
      std::next(jobs_.begin(), static_cast<long>(simulation_.random.index(jobs_.size())))->second;
  switch (simulation_.random.index(4)) {
    case 0:
      if (job.is_accepted()) repeat_submission(*controller, job);
      return;
    case 1:
      if (job.final_status == Outcome::kDone) cancel_done_job(*controller, job);
      return;
    case 2:
      return query_unknown_job(*controller);
    default:
      return submit_invalid_job(*controller, job);
  }
}

// A submission with the ID of an accepted job counts as a repetition even if other fields differ.
void UnexpectedRequests::repeat_submission(size_t controller, const UserJob& job) {
  json body = job.body;
  if (simulation_.random.index(2) == 0) body["cores"] = kTooManyCpus;
  users_.request(controller, {"POST", "/api/jobs", body.dump()},
                 [this, id = job.id(),
                  had_final_status = job.has_final_status()](const HttpResponse& response) {
                   if (response.status == 201 || response.status == 400 || response.status == 422)
                     return simulation_.add_violation("forgotten: a repeated submission of " + id +
                                                      " received status " +
                                                      std::to_string(response.status));
                   if (had_final_status || !jobs_.at(id).has_final_status())
                     users_.process_response(id, response, false);
                 });
}

void UnexpectedRequests::cancel_done_job(size_t controller, const UserJob& job) {
  users_.request(controller, {"POST", "/api/jobs/" + job.id() + "/cancel", ""},
                 [this, id = job.id()](const HttpResponse& response) {
                   if (response.status == 404) simulation_.add_violation("forgotten: " + id);
                   if (response.status == 200) users_.process_response(id, response, false);
                 });
}

void UnexpectedRequests::query_unknown_job(size_t controller) {
  const std::string id = "wk-9" + std::to_string(next_unknown_id_++);
  const bool cancels = simulation_.random.index(2) == 0;
  const std::string target = "/api/jobs/" + id;
  const HttpRequest request =
      cancels ? HttpRequest{"POST", target + "/cancel", ""} : HttpRequest{"GET", target, ""};
  users_.request(controller, request, [this, id](const HttpResponse& response) {
    if (response.status == 200) simulation_.add_violation("invented: " + id);
  });
}

void UnexpectedRequests::submit_invalid_job(size_t controller, const UserJob& pattern) {
  json body = pattern.body;
  body["id"] = "wk-8" + std::to_string(next_unknown_id_++);
  const InvalidJob job = make_invalid(std::move(body), simulation_.random.index(4));
  users_.request(
      controller, {"POST", "/api/jobs", job.body.dump()},
      [this, expected = job.expected_status, text = job.body.dump()](const HttpResponse& response) {
        const bool asked_to_retry = response.status == 503 && response.retry_after_s > 0;
        if (response.status != expected && response.status != 0 && !asked_to_retry)
          simulation_.add_violation("received status " + std::to_string(response.status) + " for " +
                                    text);
      });
}

}  // namespace standins
