// Sends user requests that are invalid, repeated or concern unknown jobs, and checks the responses.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "standins/controller_cluster.h"
#include "standins/simulation.h"
#include "standins/task_ledger.h"
#include "standins/user_job.h"
#include "standins/users.h"

namespace standins {

// The requests are: repeated submissions of accepted jobs, some with changes; cancellations of done
// jobs; status requests and cancellations of jobs that were never submitted; submissions of jobs
// that fit no machine, have an unknown team, lack a field or have an invalid value.
class UnexpectedRequests {
 public:
  UnexpectedRequests(Simulation& simulation, ControllerCluster& cluster, Users& users,
                     const UserJobs& jobs)
      : simulation_(simulation), cluster_(cluster), users_(users), jobs_(jobs) {}

  // Sends such requests at a fixed interval until `time`, or later if an earlier call requested
  // that.
  void send_until(double time);

 private:
  // Sends a request of a random kind about a random job, and schedules the next.
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
