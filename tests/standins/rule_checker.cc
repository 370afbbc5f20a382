#include "standins/rule_checker.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace standins {

using nlohmann::json;

namespace {

constexpr double kQuotaToleranceCpus = 1e-6;  // for rounding errors of sums
// The fields that the protocol requires in a submission.
constexpr const char* kRequiredFields[] = {"id",       "flock",  "owner",     "shape",  "rank",
                                           "pieces",   "cores",  "memory_gb", "bundle", "size_gb",
                                           "together", "spread", "loaners",   "guess_s"};

Outcome parse_final_status(const std::string& status) {
  if (status == "done") return Outcome::kDone;
  if (status == "withdrawn") return Outcome::kCancelled;
  return Outcome::kNone;
}

const char* wire_name(Outcome final_status) {
  return final_status == Outcome::kDone ? "done" : "withdrawn";
}

}  // namespace

// ---- responses to users --------------------------------------------------------------------

void RuleChecker::check_submit_response(const UserJob& job, const HttpResponse& response) {
  const bool rejected = response.status == 400 || response.status == 422;
  const bool accepted = response.status == 200 || response.status == 201;
  if (rejected && job.is_accepted())
    simulation_.add_violation("forgotten: " + job.id() + " received status " +
                              std::to_string(response.status));
  if (accepted && !can_run(job))
    simulation_.add_violation("accepted a job that cannot run or lacks a required field: " +
                              job.id());
  if (response.status == 503 && response.retry_after_s <= 0)
    simulation_.add_violation("503 without Retry-After for " + job.id());
}

Outcome RuleChecker::check_status_response(const UserJob& job, const HttpResponse& response,
                                           bool is_poll) {
  if (response.status == 404 && job.is_accepted())
    simulation_.add_violation("forgotten: " + job.id());
  if (response.status != 200 && response.status != 201) return Outcome::kNone;
  const json body = json::parse(response.body, nullptr, false);
  if (!body.is_object()) {
    simulation_.add_violation("malformed response for " + job.id());
    return Outcome::kNone;
  }
  const auto status = body.value("status", "");
  const Outcome final_status = parse_final_status(status);
  if (is_poll && !job.is_accepted() && job.submit_status == 0)
    simulation_.add_violation("invented: " + job.id());
  if (job.has_final_status() && final_status != job.final_status)
    simulation_.add_violation("went_back: " + job.id() + " was " + wire_name(job.final_status) +
                              ", is " + status);
  if (final_status == Outcome::kDone && ledger_.done_at(job.id()) < 0)
    simulation_.add_violation("not_done: " + job.id());
  if (final_status == Outcome::kCancelled && !job.is_cancel_requested)
    simulation_.add_violation("went_back: " + job.id() + " not cancelled");
  return final_status;
}

bool RuleChecker::can_run(const UserJob& job) const {
  for (const char* field : kRequiredFields)
    if (!job.body.contains(field)) return false;
  auto team = teams_.find(job.team);
  if (team == teams_.end()) return false;
  const double max = team->second.cpus_max;
  // The tasks of an array can run one after another; those of the other shapes run all at once.
  const int tasks_at_once = job.workload.shape == Shape::kArray ? 1 : job.workload.tasks;
  if (max > 0 && job.workload.cpus * tasks_at_once > max) return false;
  return std::any_of(cloud_.types.begin(), cloud_.types.end(),
                     [&](const TypeSpec& type) { return fits(job, type); });
}

bool RuleChecker::fits(const UserJob& job, const TypeSpec& type) const {
  const bool has_zone = job.zone.empty() || std::find(type.zones.begin(), type.zones.end(),
                                                      job.zone) != type.zones.end();
  return job.workload.cpus <= type.cpus && job.workload.memory_gb <= type.memory_gb &&
         job.allows_type(type.name) && has_zone;
}

// ---- tasks ---------------------------------------------------------------------------------

void RuleChecker::before_task_start(const Worker& worker, const TaskKey& task, uint64_t attempt) {
  for (const auto& [machine, other_attempt] : ledger_.machines_of(task))
    simulation_.add_violation("ran_twice: " + task.job + "/" + std::to_string(task.index) +
                              " attempt " + std::to_string(attempt) + " starts on " + worker.name +
                              " while attempt " + std::to_string(other_attempt) + " is on " +
                              machine);
}

void RuleChecker::after_task_start(const Worker& worker, const TaskKey& task) {
  const UserJob& job = jobs_.at(task.job);
  check_machine(worker, job);
  check_zones(job);
  if (job.reported_cancelled_at >= 0 && simulation_.now() > job.reported_cancelled_at + cancel_s_)
    simulation_.add_violation("ran_cancelled: " + job.id() + " starts");
  check_quotas();
}

void RuleChecker::check_machine(const Worker& worker, const UserJob& job) {
  if (worker.spot && !job.spot)
    simulation_.add_violation("wrong_place: " + job.id() + " on a spot machine");
  if (!job.allows_zone(worker.zone))
    simulation_.add_violation("wrong_place: " + job.id() + " in " + worker.zone);
  if (!job.allows_type(worker.type))
    simulation_.add_violation("wrong_place: " + job.id() + " on " + worker.type);
}

void RuleChecker::check_zones(const UserJob& job) {
  std::map<std::string, int> tasks_by_zone;
  for (int i = 0; i < job.workload.tasks; ++i)
    for (const auto& [machine, attempt] : ledger_.machines_of({job.id(), i}))
      ++tasks_by_zone[cloud_.machines.at(machine).zone];
  for (const auto& [zone, tasks] : tasks_by_zone)
    if (job.spread && tasks > job.max_tasks_per_zone())
      simulation_.add_violation("wrong_place: " + job.id() + " not spread");
  if (job.one_zone && tasks_by_zone.size() > 1)
    simulation_.add_violation("wrong_place: " + job.id() + " not together");
}

void RuleChecker::check_quotas() {
  std::map<std::string, double> cpus_by_team;
  for (const auto& [task, machines] : ledger_.machines_by_task()) {
    if (machines.empty()) continue;
    const UserJob& job = jobs_.at(task.job);
    cpus_by_team[job.team] += job.workload.cpus;
  }
  for (const auto& [team, cpus] : cpus_by_team) {
    const double max = cpus_max_of(teams_, team);
    if (max > 0 && cpus > max + kQuotaToleranceCpus) simulation_.add_violation("quota: " + team);
  }
}

void RuleChecker::check_cancelled_jobs() {
  for (const auto& [id, job] : jobs_) {
    if (job.reported_cancelled_at < 0 || simulation_.now() < job.reported_cancelled_at + cancel_s_)
      continue;
    for (int i = 0; i < job.workload.tasks; ++i)
      if (!ledger_.machines_of({id, i}).empty()) simulation_.add_violation("ran_cancelled: " + id);
  }
}

}  // namespace standins
