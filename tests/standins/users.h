// Simulated users, who submit and cancel jobs, retry failed requests and poll the status of jobs.
#pragma once

#include <cstddef>
#include <string>

#include "standins/controller_cluster.h"
#include "standins/http_message.h"
#include "standins/network.h"
#include "standins/rule_checker.h"
#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"

namespace standins {

// Sends requests to random controllers and has the rule checker check the responses.
class Users : public TaskObserver {
 public:
  Users(Simulation& simulation, Network& network, ControllerCluster& cluster, RuleChecker& rules,
        UserJobs& jobs)
      : simulation_(simulation), network_(network), cluster_(cluster), rules_(rules), jobs_(jobs) {}

  // Submits a job, with retries for up to a minute until it is accepted or rejected. Polls its
  // status once it is accepted.
  void submit(UserJob job);
  // Requests the job's cancellation, with retries until it is acknowledged.
  void cancel(const std::string& job_id);
  // Checks a response that reports the job's status and updates the user's view of the job.
  // `is_poll` is true for the response to a status request, false for that to a submission or
  // cancellation.
  void process_response(const std::string& job_id, const HttpResponse& response, bool is_poll);
  // Makes users cancel each job, with this probability, at the moment its last task completes.
  void set_cancel_on_completion(double probability) { cancel_on_completion_ = probability; }

  // Sends a submission or a cancellation without retries. If it was carried out, a copy may arrive
  // late at any controller; nobody receives the second response.
  void request(size_t controller, const HttpRequest& request,
               const ControllerCluster::ResponseHandler& on_response);

  // Returns whether each job has a final status, was rejected, or was not accepted within the time
  // limit.
  bool are_all_jobs_finished() const;

  // Cancels the job with the probability set by set_cancel_on_completion().
  void on_job_done(const std::string& job_id) override;

 private:
  void try_submit(const std::string& job_id);
  void on_submit_response(const std::string& job_id, const HttpResponse& response,
                          bool had_final_status);
  void try_cancel(const std::string& job_id);
  void poll(const std::string& job_id);
  // Calls `action` with the job's ID after a delay.
  void retry_after(double delay_s, void (Users::*action)(const std::string&),
                   const std::string& job_id);

  void duplicate(const HttpRequest& request);

  Simulation& simulation_;
  Network& network_;
  ControllerCluster& cluster_;
  RuleChecker& rules_;
  UserJobs& jobs_;
  double cancel_on_completion_ = 0;
};

}  // namespace standins
