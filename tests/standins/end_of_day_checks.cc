#include "standins/end_of_day_checks.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "standins/machine_listings.h"

namespace standins {

namespace {

constexpr double kMaxResponseGapSeconds = 75;      // without a response about a job
constexpr double kMaxStartOfLargestSeconds = 240;  // from submission to start
constexpr double kMinObservationSeconds = 45;      // from submission, or the last fault, to the end
constexpr double kLargestShare = 0.1;              // of the jobs of a class

}  // namespace

void EndOfDayChecks::run(double faults_end) {
  check_machine_lists();
  std::map<std::string, JobList> by_class, by_team;
  for (const auto& [id, job] : jobs_) {
    if (!job.is_accepted() || job.is_cancel_requested) continue;
    check_recent_response(job, faults_end);
    if (simulation_.now() - std::max(job.submitted_at, faults_end) < kMinObservationSeconds)
      continue;
    by_class[job.job_class].push_back(&job);
    by_team[job.team].push_back(&job);
  }
  for (const auto& [name, jobs] : by_team) check_served("team " + name, jobs);
  for (const auto& [name, jobs] : by_class) check_class(name, jobs);
}

void EndOfDayChecks::check_machine_lists() {
  for (const std::string& duplicate : duplicate_listings(store_, partitions_))
    simulation_.add_violation("listed_twice: " + duplicate);
}

void EndOfDayChecks::check_recent_response(const UserJob& job, double faults_end) {
  const double since = std::max({job.last_response_at, job.submitted_at, faults_end});
  if (simulation_.now() - since > kMaxResponseGapSeconds)
    simulation_.add_violation("forgotten: no response reported the status of " + job.id());
}

void EndOfDayChecks::check_served(const std::string& group, const JobList& jobs) {
  const auto served =
      static_cast<size_t>(std::count_if(jobs.begin(), jobs.end(), [&](const UserJob* job) {
        return ledger_.started_at(job->id()) >= 0;
      }));
  if (served * 2 < jobs.size())
    simulation_.add_violation("unserved: " + std::to_string(served) + " of " +
                              std::to_string(jobs.size()) + " of " + group);
}

void EndOfDayChecks::check_class(const std::string& name, const JobList& jobs) {
  check_served("class " + name, jobs);
  JobList largest = jobs;
  std::stable_sort(largest.begin(), largest.end(), [](const UserJob* a, const UserJob* b) {
    return a->workload.tasks > b->workload.tasks;
  });
  largest.resize(
      static_cast<size_t>(std::ceil(kLargestShare * static_cast<double>(largest.size()))));
  check_served("the largest of class " + name, largest);
  for (const UserJob* job : largest) check_started_in_time(*job, name);
}

void EndOfDayChecks::check_started_in_time(const UserJob& job, const std::string& job_class) {
  const double started_at = ledger_.started_at(job.id());
  const double started_or_now = started_at >= 0 ? started_at : simulation_.now();
  if (started_or_now - job.submitted_at > kMaxStartOfLargestSeconds)
    simulation_.add_violation("late: " + job.id() + ", one of the largest of class " + job_class);
}

}  // namespace standins
