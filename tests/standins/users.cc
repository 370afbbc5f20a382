#include "standins/users.h"

#include <algorithm>

namespace standins {

using nlohmann::json;

namespace {

constexpr double kSubmitFor = 60;      // s until a user gives up
constexpr double kRequestTimeout = 5;  // s
constexpr double kPollTimeout = 2;     // s
constexpr double kRetryInterval = 1;   // s, unless the answer asks for more
constexpr double kPollInterval = 1, kPollIntervalWhenOver = 7;  // s

}  // namespace

void Users::request(size_t controller, HttpRequest request,
                    const ControllerCluster::AnswerHandler& on_answer) {
  cluster_.request(controller, std::move(request), kRequestTimeout, on_answer);
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
  if (simulation_.now() - job.submitted_at > kSubmitFor) {
    job.submission = Submission::kGivenUp;
    return;
  }
  const auto controller = cluster_.random_ready();
  if (!controller) return retry_after(kRetryInterval, &Users::try_submit, job_id);
  request(*controller, {"POST", "/api/jobs", job.body.dump()},
          [this, job_id, was_over = job.is_over()](const HttpAnswer& answer) {
            on_submit_answer(job_id, answer, was_over);
          });
}

void Users::on_submit_answer(const std::string& job_id, const HttpAnswer& answer, bool was_over) {
  UserJob& job = jobs_.at(job_id);
  job.submit_status = answer.status;
  rules_.check_submit_answer(job, answer);
  switch (answer.status) {
    case 400:
    case 422:
      job.submission = Submission::kRejected;
      return;
    case 200:
    case 201:
      job.submission = Submission::kAccepted;
      if (was_over || !job.is_over()) observe_answer(job_id, answer, false);
      return retry_after(kPollInterval, &Users::poll, job_id);
    default:
      retry_after(std::max(kRetryInterval, answer.retry_after_s), &Users::try_submit, job_id);
  }
}

void Users::poll(const std::string& job_id) {
  const size_t controller = cluster_.random_any();
  const bool was_over = jobs_.at(job_id).is_over();
  cluster_.request(controller, {"GET", "/api/jobs/" + job_id, ""}, kPollTimeout,
                   [this, job_id, was_over](const HttpAnswer& answer) {
                     // An answer to a question from before the final status may be older.
                     if (was_over || !jobs_.at(job_id).is_over())
                       observe_answer(job_id, answer, true);
                   });
  retry_after(was_over ? kPollIntervalWhenOver : kPollInterval, &Users::poll, job_id);
}

void Users::observe_answer(const std::string& job_id, const HttpAnswer& answer, bool is_poll) {
  UserJob& job = jobs_.at(job_id);
  if (answer.status == 200 || answer.status == 201) job.last_answered_at = simulation_.now();
  const Outcome outcome = rules_.check_status_answer(job, answer, is_poll);
  if (outcome == Outcome::kNone) return;
  job.outcome = outcome;
  if (outcome == Outcome::kCancelled && job.told_cancelled_at < 0)
    job.told_cancelled_at = simulation_.now();
}

void Users::cancel(const std::string& job_id) {
  jobs_.at(job_id).cancel_requested = true;
  try_cancel(job_id);
}

void Users::try_cancel(const std::string& job_id) {
  const auto controller = cluster_.random_ready();
  if (!controller) return retry_after(kRetryInterval, &Users::try_cancel, job_id);
  request(*controller, {"POST", "/api/jobs/" + job_id + "/cancel", ""},
          [this, job_id](const HttpAnswer& answer) {
            if (answer.status == 200) return observe_answer(job_id, answer, false);
            retry_after(std::max(kRetryInterval, answer.retry_after_s), &Users::try_cancel, job_id);
          });
}

void Users::on_job_done(const std::string& job_id) {
  if (cancel_on_completion_ <= 0 || jobs_.at(job_id).cancel_requested) return;
  if (simulation_.random.happens(cancel_on_completion_))
    simulation_.events.after(0, [this, job_id] { cancel(job_id); });
}

bool Users::all_jobs_over() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
    const UserJob& job = entry.second;
    return job.is_over() || job.submission == Submission::kRejected ||
           job.submission == Submission::kGivenUp;
  });
}

}  // namespace standins
