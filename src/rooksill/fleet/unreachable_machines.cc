#include "rooksill/fleet/unreachable_machines.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace rooksill::fleet {

namespace {
// Machines with replicas are released in batches: the interval between two batches, and the ratio
// of all machines that one batch may contain.
constexpr double kBatchIntervalHeartbeats = 1.5;
constexpr double kBatchRatio = 0.05;
// A machine that has been unreachable for this part of a lease does not wait for the next batch.
constexpr double kMaxBatchWaitLeases = 0.5;
// Lease durations after which an unreachable machine of an isolated zone is released in any case.
constexpr double kForcedReleaseLeases = 2;
// A zone with fewer machines is never considered isolated: too few to tell a fault of the zone from
// faults of single machines.
constexpr int kMinMachinesToJudgeZone = 4;
}  // namespace

void UnreachableMachines::update(const wire::MachineStatusMap& statuses,
                                 const UnreachableZones& unreachable) {
  unreachable_to_owner_ = unreachable.to_owner;
  std::erase_if(unreachable_since_, [&](const auto& entry) {
    const auto status = statuses.find(entry.first);
    return status == statuses.end() || !status->second.is_unreachable;
  });
  update_isolated_zones(statuses, unreachable.to_most_owners);
  update_capacity(statuses);
}

bool UnreachableMachines::is_isolated(const std::string& zone) const {
  const auto until = isolated_until_.find(zone);
  return until != isolated_until_.end() && until->second > context_.now.steady;
}

// Skips machines that are booting and not overdue: they do not show whether the zone is reachable.
std::map<std::string, UnreachableMachines::ZoneCount> UnreachableMachines::count_by_zone(
    const wire::MachineStatusMap& statuses) const {
  std::map<std::string, ZoneCount> counts;
  for (const auto& [name, machine] : replica_.machines()) {
    const auto found = statuses.find(name);
    const auto type = replica_.types.find(machine.type);
    if (found == statuses.end() || type == replica_.types.end()) continue;
    const wire::MachineStatus& status = found->second;
    const double age = context_.now.wall - machine.rented_at;
    if (!status.is_up && age < model::kLateBootRatio * type->second.boot_s) continue;
    ZoneCount& count = counts[machine.zone];
    ++count.total;
    if (status.is_unreachable || !status.is_up) ++count.unreachable;
  }
  return counts;
}

// A zone is isolated if most owners report it as unreachable or most of its machines are
// unreachable. Machines rented there would be unreachable too, so they are rented elsewhere. The
// isolation expires after a lease's duration: if no machine is left in the zone to show that it is
// reachable again, a new rental does.
void UnreachableMachines::update_isolated_zones(
    const wire::MachineStatusMap& statuses,
    const std::set<std::string>& unreachable_to_most_owners) {
  const std::map<std::string, ZoneCount> counts = count_by_zone(statuses);
  std::set<std::string> isolated;
  for (const auto& [zone, count] : counts) {
    if (count.total < kMinMachinesToJudgeZone) continue;
    if (unreachable_to_most_owners.count(zone) != 0 || count.unreachable * 2 > count.total)
      isolated.insert(zone);
    else if (count.unreachable * 4 < count.total)
      isolated_until_.erase(zone);
  }
  // If all zones appear isolated, the fault is more likely in the controllers' own connection.
  if (isolated.size() == counts.size()) return;
  for (const auto& zone : isolated) {
    double& until = isolated_until_[zone];
    if (until <= context_.now.steady)
      context_.info("fleet",
                    "zone {} is isolated: {} of {} machines unreachable; renting elsewhere", zone,
                    counts.at(zone).unreachable, counts.at(zone).total);
    until = context_.now.steady + context_.settings.platform.lease_s;
  }
}

void UnreachableMachines::update_capacity(const wire::MachineStatusMap& statuses) {
  if (context_.now.steady < next_capacity_update_at_) return;
  next_capacity_update_at_ = context_.now.steady + context_.settings.platform.report_s;
  free_cpus_ = 0;
  used_cpus_by_priority_.fill(0);
  for (const auto& [name, status] : statuses) {
    if (replica_.machine(name) == nullptr || !status.is_up || status.is_unreachable) continue;
    free_cpus_ += status.cpus_free;
    for (size_t priority = 0; priority < used_cpus_by_priority_.size(); ++priority)
      used_cpus_by_priority_[priority] += status.cpus_by_priority[priority];
  }
}

bool UnreachableMachines::claim_release(const model::Machine& machine) {
  const double now = context_.now.steady;
  const double unreachable_s = now - unreachable_since_.emplace(machine.name, now).first->second;
  // The machine's own owner reports the unreachable zone along with the unreachable machine; the
  // reports of most other owners may arrive later.
  const bool is_zone_unreachable =
      unreachable_to_owner_.count({machine.partition, machine.zone}) != 0;
  if ((is_zone_unreachable || is_isolated(machine.zone)) &&
      !claim_release_in_isolated_zone(machine, unreachable_s))
    return false;
  if (replica_.load(machine.name).service_cpus <= 0) return true;
  return claim_batch_slot(unreachable_s);
}

// Tasks in an isolated zone run until the machines' leases expire. Releasing the machines earlier
// would only end the tasks sooner, because other zones lack the capacity for all of them. After the
// expiry the tasks can restart where their images are cached as soon as the zone is reachable
// again, so a machine is released only if there is capacity elsewhere by then.
bool UnreachableMachines::claim_release_in_isolated_zone(const model::Machine& machine,
                                                         double unreachable_s) {
  const PlatformSettings& platform = context_.settings.platform;
  // A machine is reported as unreachable only after this time, and its lease began before.
  const double detection_s =
      context_.settings.operators.machine_timeout_reports * platform.report_s;
  if (unreachable_s < platform.lease_s - detection_s) return false;
  const store::MachineLoad& load = replica_.load(machine.name);
  if (load.service_cpus <= 0 && claim_capacity_for(load)) return true;
  return unreachable_s >= kForcedReleaseLeases * platform.lease_s ||
         replica_fits_elsewhere(machine);
}

// Returns whether the machine's tasks have capacity elsewhere, free or preemptible from tasks of
// lower priority, and if so reserves it for them.
bool UnreachableMachines::claim_capacity_for(const store::MachineLoad& load) {
  size_t highest_priority = 0;
  for (const model::TaskRef& task : load.tasks)
    if (const model::Job* job = replica_.job(task.job))
      highest_priority = std::max(highest_priority, static_cast<size_t>(job->spec.priority));
  const auto lower_end =
      used_cpus_by_priority_.begin() + static_cast<std::ptrdiff_t>(highest_priority);
  if (load.used.cpus > std::accumulate(used_cpus_by_priority_.begin(), lower_end, free_cpus_))
    return false;
  double needed = load.used.cpus;
  const auto claim_from = [&needed](double& cpus) {
    const double claimed = std::min(cpus, needed);
    cpus -= claimed;
    needed -= claimed;
  };
  claim_from(free_cpus_);
  std::for_each(used_cpus_by_priority_.begin(), lower_end, claim_from);
  return true;
}

// Returns whether a replica on a machine of an isolated zone may run in another zone, where it can
// preempt tasks of lower priority.
bool UnreachableMachines::replica_fits_elsewhere(const model::Machine& machine) const {
  for (const model::TaskRef& task : replica_.placed_on(machine.name)) {
    const model::Job* job = replica_.job(task.job);
    if (job == nullptr || job->over() || job->spec.shape != model::Shape::kService) continue;
    const model::JobSpec& spec = job->spec;
    if (spec.one_zone || !spec.zone.empty()) continue;
    if (!spec.spread || has_other_zone_for(*job, machine.zone)) return true;
  }
  return false;
}

// Returns whether a zone other than `zone` may run one more task of a spread job.
bool UnreachableMachines::has_other_zone_for(const model::Job& job, const std::string& zone) const {
  std::map<std::string, uint32_t> tasks_by_zone = replica_.tasks_by_zone(job);
  for (const auto& [name, type] : replica_.types)
    for (const auto& other : type.zones)
      if (other != zone && tasks_by_zone[other] < job.spec.max_tasks_in_zone()) return true;
  return false;
}

// If many machines with replicas become unreachable together, they are released in batches: the
// first replicas pull their images to new machines, so that later replicas start there without a
// pull, and until then the later replicas may still be serving. Machines far into their lease do
// not wait: their tasks are about to be killed anyway.
bool UnreachableMachines::claim_batch_slot(double unreachable_s) {
  const PlatformSettings& platform = context_.settings.platform;
  if (context_.now.steady >= next_batch_at_) {
    next_batch_at_ = context_.now.steady + kBatchIntervalHeartbeats * platform.report_s;
    const auto machines = static_cast<double>(replica_.machines().size());
    remaining_in_batch_ = std::max(1, static_cast<int>(kBatchRatio * machines));
  }
  if (remaining_in_batch_ <= 0 && unreachable_s < kMaxBatchWaitLeases * platform.lease_s)
    return false;
  --remaining_in_batch_;
  return true;
}

}  // namespace rooksill::fleet
