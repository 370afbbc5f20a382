// Simulated users: they submit jobs and cancel them, retry, and poll for the jobs' status.
#pragma once

#include <cstddef>
#include <string>

#include "standins/controller_cluster.h"
#include "standins/http_message.h"
#include "standins/rule_checker.h"
#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"

namespace standins {

class Users : public TaskObserver {
 public:
  Users(Simulation& simulation, ControllerCluster& cluster, RuleChecker& rules, UserJobs& jobs)
      : simulation_(simulation), cluster_(cluster), rules_(rules), jobs_(jobs) {}

  // Submits until the job is accepted or rejected, for a minute at most; polls it from then on.
  void submit(UserJob job);
  // Asks for the job's cancellation until that is acknowledged.
  void cancel(const std::string& job_id);
  // Takes in what a controller says about the job; the answer is checked. `is_poll`: the answer to
  // a question, not to a submission or cancellation.
  void process_response(const std::string& job_id, const HttpResponse& response, bool is_poll);
  // From now on users cancel a job, with this probability, at the moment its last task completes.
  void set_cancel_on_completion(double probability) { cancel_on_completion_ = probability; }

  // Sends a request that is not repeated.
  void request(size_t controller, HttpRequest request,
               const ControllerCluster::ResponseHandler& on_response);

  bool are_all_jobs_finished() const;

  void on_job_done(const std::string& job_id) override;

 private:
  void try_submit(const std::string& job_id);
  void on_submit_response(const std::string& job_id, const HttpResponse& response, bool had_final_status);
  void try_cancel(const std::string& job_id);
  void poll(const std::string& job_id);
  void retry_after(double delay_s, void (Users::*action)(const std::string&),
                   const std::string& job_id);

  Simulation& simulation_;
  ControllerCluster& cluster_;
  RuleChecker& rules_;
  UserJobs& jobs_;
  double cancel_on_completion_ = 0;
};

}  // namespace standins
