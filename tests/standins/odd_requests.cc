#include "standins/odd_requests.h"

#include <algorithm>
#include <iterator>

namespace standins {

using nlohmann::json;

namespace {

constexpr double kInterval = 0.3;     // s between requests
constexpr double kTooManyCpus = 1e6;  // more than any machine has

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

void OddRequests::send_until(double time) {
  const bool sending = until_ > simulation_.now();
  until_ = std::max(until_, time);
  if (!sending) send_next();
}

void OddRequests::send_next() {
  if (simulation_.now() >= until_) return;
  simulation_.events.after(kInterval, [this] { send_next(); });
  const auto controller = cluster_.random_ready();
  if (!controller || jobs_.empty()) return;
  const UserJob& job =
      std::next(jobs_.begin(), static_cast<long>(simulation_.random.index(jobs_.size())))->second;
  switch (simulation_.random.index(4)) {
    case 0:
      if (job.accepted()) repeat_submission(*controller, job);
      return;
    case 1:
      if (job.outcome == Outcome::kDone) cancel_done_job(*controller, job);
      return;
    case 2:
      return ask_about_unknown_job(*controller);
    default:
      return submit_invalid_job(*controller, job);
  }
}

// A repeat that differs is a repeat all the same.
void OddRequests::repeat_submission(size_t controller, const UserJob& job) {
  json body = job.body;
  if (simulation_.random.index(2) == 0) body["cores"] = kTooManyCpus;
  users_.request(controller, {"POST", "/api/jobs", body.dump()},
                 [this, id = job.id(), was_over = job.is_over()](const HttpAnswer& answer) {
                   if (answer.status == 201 || answer.status == 400 || answer.status == 422)
                     return simulation_.violation("forgotten: a repeat of " + id + " answered " +
                                                  std::to_string(answer.status));
                   if (was_over || !jobs_.at(id).is_over())
                     users_.observe_answer(id, answer, false);
                 });
}

void OddRequests::cancel_done_job(size_t controller, const UserJob& job) {
  users_.request(controller, {"POST", "/api/jobs/" + job.id() + "/cancel", ""},
                 [this, id = job.id()](const HttpAnswer& answer) {
                   if (answer.status == 404) simulation_.violation("forgotten: " + id);
                   if (answer.status == 200) users_.observe_answer(id, answer, false);
                 });
}

void OddRequests::ask_about_unknown_job(size_t controller) {
  const std::string id = "wk-9" + std::to_string(next_unknown_id_++);
  const bool cancels = simulation_.random.index(2) == 0;
  const std::string target = "/api/jobs/" + id;
  const HttpRequest request =
      cancels ? HttpRequest{"POST", target + "/cancel", ""} : HttpRequest{"GET", target, ""};
  users_.request(controller, request, [this, id](const HttpAnswer& answer) {
    if (answer.status == 200) simulation_.violation("invented: " + id);
  });
}

void OddRequests::submit_invalid_job(size_t controller, const UserJob& pattern) {
  json body = pattern.body;
  body["id"] = "wk-8" + std::to_string(next_unknown_id_++);
  const InvalidJob job = make_invalid(std::move(body), simulation_.random.index(4));
  users_.request(
      controller, {"POST", "/api/jobs", job.body.dump()},
      [this, expected = job.expected_status, text = job.body.dump()](const HttpAnswer& answer) {
        const bool asked_to_retry = answer.status == 503 && answer.retry_after_s > 0;
        if (answer.status != expected && answer.status != 0 && !asked_to_retry)
          simulation_.violation("answered " + std::to_string(answer.status) + " to " + text);
      });
}

}  // namespace standins
