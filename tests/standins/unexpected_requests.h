// Requests that users make by mistake or out of habit, and the answers they must get.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "standins/controller_cluster.h"
#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"
#include "standins/users.h"

namespace standins {

// Repeats of accepted jobs, also changed ones; cancellations of jobs that are done; questions about
// jobs that nobody submitted; jobs that fit no machine, belong to no team or lack a field.
class UnexpectedRequests {
 public:
  UnexpectedRequests(Simulation& simulation, ControllerCluster& cluster, Users& users,
              const UserJobs& jobs)
      : simulation_(simulation), cluster_(cluster), users_(users), jobs_(jobs) {}

  // Sends such requests until then, or longer if an earlier call said so.
  void send_until(double time);

 private:
  void send_next();
  void repeat_submission(size_t controller, const UserJob& job);
  void cancel_done_job(size_t controller, const UserJob& job);
  void query_unknown_job(size_t controller);
  void submit_invalid_job(size_t controller, const UserJob& pattern);

  Simulation& simulation_;
  ControllerCluster& cluster_;
  Users& users_;
  const UserJobs& jobs_;
  double until_ = 0;
  int next_unknown_id_ = 10000;
};

}  // namespace standins
