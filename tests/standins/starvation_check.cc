#include "standins/starvation_check.h"

#include <algorithm>

namespace standins {

namespace {

constexpr double kMaxPendingSeconds = 30;
constexpr double kSettleSeconds = 30;  // from a machine's boot until it is expected to be used

}  // namespace

void StarvationCheck::check(double faults_end) {
  if (simulation_.now() < faults_end) return pending_since_.clear();
  Usage usage = current_usage();
  std::map<std::string, double> still_pending;
  for (const auto& [id, job] : jobs_) {
    if (!has_startable_tasks(job, usage) || !any_machine_has_capacity(job, usage)) continue;
    auto known = pending_since_.find(id);
    const double since = known != pending_since_.end() ? known->second : simulation_.now();
    still_pending[id] = since;
    if (simulation_.now() - since > kMaxPendingSeconds)
      simulation_.add_violation("waits though there is room: " + id);
  }
  pending_since_ = std::move(still_pending);
}

StarvationCheck::Usage StarvationCheck::current_usage() const {
  Usage usage;
  for (const auto& [task, machines] : ledger_.machines_by_task()) {
    if (machines.empty()) continue;
    const UserJob& job = jobs_.at(task.job);
    usage.cpus_by_team[job.team] += job.workload.cpus;
    ++usage.running_by_job[task.job];
    for (const auto& [machine, attempt] : machines)
      ++usage.tasks_by_job_and_zone[task.job][fleet_.workers().at(machine)->zone];
  }
  return usage;
}

bool StarvationCheck::has_startable_tasks(const UserJob& job, Usage& usage) const {
  if (!job.is_accepted() || job.has_final_status() || job.is_cancel_requested || job.one_zone ||
      job.workload.fails || job.workload.is_gang())
    return false;
  const int pending_tasks =
      job.workload.tasks - usage.running_by_job[job.id()] - ledger_.completed_tasks(job.workload);
  const double max = cpus_max_of(teams_, job.team);
  return pending_tasks > 0 && (max <= 0 || usage.cpus_by_team[job.team] + job.workload.cpus <= max);
}

bool StarvationCheck::any_machine_has_capacity(const UserJob& job, Usage& usage) const {
  auto& tasks_by_zone = usage.tasks_by_job_and_zone[job.id()];
  return std::any_of(fleet_.workers().begin(), fleet_.workers().end(), [&](const auto& entry) {
    const Worker& worker = *entry.second;
    return has_capacity(job, worker, tasks_by_zone[worker.zone]);
  });
}

bool StarvationCheck::has_capacity(const UserJob& job, const Worker& worker,
                                   int tasks_in_zone) const {
  const bool in_service = !worker.is_dead && !worker.is_faulty && !worker.reclaim_at &&
                          simulation_.now() - worker.booted_at() > kSettleSeconds;
  const bool allowed = (!worker.spot || job.spot) && job.allows_zone(worker.zone) &&
                       job.allows_type(worker.type) &&
                       (!job.spread || tasks_in_zone < job.max_tasks_per_zone());
  return in_service && allowed && worker.free_cpus() >= job.workload.cpus &&
         worker.free_memory_gb() >= job.workload.memory_gb;
}

}  // namespace standins
