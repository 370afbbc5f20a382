#include "standins/users.h"

#include <algorithm>

namespace standins {

using nlohmann::json;

namespace {

constexpr double kSubmitTimeoutSeconds = 60;  // until a user stops trying to submit a job
constexpr double kRequestTimeoutSeconds = 5;
constexpr double kPollTimeoutSeconds = 2;
constexpr double kRetryIntervalSeconds = 1;  // unless the response has a longer Retry-After
constexpr double kPollIntervalSeconds = 1,
                 kFinalPollIntervalSeconds = 7;  // before and after the final status

}  // namespace

void Users::request(size_t controller, const HttpRequest& request,
                    const ControllerCluster::ResponseHandler& on_response) {
  cluster_.request(controller, request, kRequestTimeoutSeconds,
                   [this, request, on_response](const HttpResponse& response) {
                     on_response(response);
                     if (response.status == 200 || response.status == 201) duplicate(request);
                   });
}

void Users::duplicate(const HttpRequest& request) {
  const auto delay = network_.draw_duplicate(RequestLink::kUsers);
  if (!delay) return;
  simulation_.events.after(*delay, [this, request] {
    cluster_.request(cluster_.random_controller(), request, kRequestTimeoutSeconds,
                     [](const HttpResponse&) {});
  });
}

void Users::retry_after(double delay_s, void (Users::*action)(const std::string&),
                        const std::string& job_id) {
  simulation_.events.after(delay_s, [this, action, job_id] { (this->*action)(job_id); });
}

void Users::submit(UserJob job) {
  const std::string id = job.id();
  job.submitted_at = simulation_.now();
  jobs_[id] = std::move(job);
  try_submit(id);
}

void Users::try_submit(const std::string& job_id) {
  UserJob& job = jobs_.at(job_id);
  if (simulation_.now() - job.submitted_at > kSubmitTimeoutSeconds) {
    job.submission = Submission::kTimedOut;
    return;
  }
  const auto controller = cluster_.random_ready_controller();
  if (!controller) return retry_after(kRetryIntervalSeconds, &Users::try_submit, job_id);
  request(*controller, {"POST", "/api/jobs", job.body.dump()},
          [this, job_id, had_final_status = job.has_final_status()](const HttpResponse& response) {
            on_submit_response(job_id, response, had_final_status);
          });
}

void Users::on_submit_response(const std::string& job_id, const HttpResponse& response,
                               bool had_final_status) {
  UserJob& job = jobs_.at(job_id);
  job.submit_status = response.status;
  rules_.check_submit_response(job, response);
  switch (response.status) {
    case 400:
    case 422:
      job.submission = Submission::kRejected;
      return;
    case 200:
    case 201:
      job.submission = Submission::kAccepted;
      if (had_final_status || !job.has_final_status()) process_response(job_id, response, false);
      return retry_after(kPollIntervalSeconds, &Users::poll, job_id);
    default:
      retry_after(std::max(kRetryIntervalSeconds, response.retry_after_s), &Users::try_submit,
                  job_id);
  }
}

void Users::poll(const std::string& job_id) {
  const size_t controller = cluster_.random_controller();
  const bool had_final_status = jobs_.at(job_id).has_final_status();
  cluster_.request(controller, {"GET", "/api/jobs/" + job_id, ""}, kPollTimeoutSeconds,
                   [this, job_id, had_final_status](const HttpResponse& response) {
                     // A response to a request sent before the final status was known may be stale.
                     if (had_final_status || !jobs_.at(job_id).has_final_status())
                       process_response(job_id, response, true);
                   });
  retry_after(had_final_status ? kFinalPollIntervalSeconds : kPollIntervalSeconds, &Users::poll,
              job_id);
}

void Users::process_response(const std::string& job_id, const HttpResponse& response,
                             bool is_poll) {
  UserJob& job = jobs_.at(job_id);
  if (response.status == 200 || response.status == 201) job.last_response_at = simulation_.now();
  const Outcome final_status = rules_.check_status_response(job, response, is_poll);
  if (final_status == Outcome::kNone) return;
  job.final_status = final_status;
  if (final_status == Outcome::kCancelled && job.reported_cancelled_at < 0)
    job.reported_cancelled_at = simulation_.now();
}

void Users::cancel(const std::string& job_id) {
  jobs_.at(job_id).is_cancel_requested = true;
  try_cancel(job_id);
}

void Users::try_cancel(const std::string& job_id) {
  const auto controller = cluster_.random_ready_controller();
  if (!controller) return retry_after(kRetryIntervalSeconds, &Users::try_cancel, job_id);
  request(*controller, {"POST", "/api/jobs/" + job_id + "/cancel", ""},
          [this, job_id](const HttpResponse& response) {
            if (response.status == 200) return process_response(job_id, response, false);
            retry_after(std::max(kRetryIntervalSeconds, response.retry_after_s), &Users::try_cancel,
                        job_id);
          });
}

void Users::on_job_done(const std::string& job_id) {
  if (cancel_on_completion_ <= 0 || jobs_.at(job_id).is_cancel_requested) return;
  if (simulation_.random.bernoulli(cancel_on_completion_))
    simulation_.events.after(0, [this, job_id] { cancel(job_id); });
}

bool Users::are_all_jobs_finished() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
    const UserJob& job = entry.second;
    return job.has_final_status() || job.submission == Submission::kRejected ||
           job.submission == Submission::kTimedOut;
  });
}

}  // namespace standins
