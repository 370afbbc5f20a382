#include "rooksill/fleet/silent_machines.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace rooksill::fleet {

namespace {
// Machines with replicas are released in batches: the pause between two in report intervals, and
// the part of all machines that is in one.
constexpr double kBatchPauseReports = 1.5;
constexpr double kBatchPart = 0.05;
// A machine that has been silent for this part of its lease does not wait for the next batch.
constexpr double kLongestWaitLeases = 0.5;
// Leases after which the machines of a cut off zone are released in any case.
constexpr double kGivenUpLeases = 2;
// A zone with fewer machines is never taken for cut off: their silence says nothing of the zone.
constexpr int kFewestMachinesToJudge = 4;
}  // namespace

void SilentMachines::update(const wire::MachineStatusMap& statuses,
                            const UnreachableZones& unreachable) {
  unreachable_to_owner_ = unreachable.to_owner;
  std::erase_if(silent_since_, [&](const auto& entry) {
    const auto status = statuses.find(entry.first);
    return status == statuses.end() || !status->second.is_unreachable;
  });
  update_cut_off_zones(statuses, unreachable.to_most);
  update_space(statuses);
}

bool SilentMachines::is_cut_off(const std::string& zone) const {
  const auto until = cut_off_until_.find(zone);
  return until != cut_off_until_.end() && until->second > context_.now.steady;
}

// Machines that are booting and not late yet say nothing of their zone.
std::map<std::string, SilentMachines::ZoneCount> SilentMachines::count_by_zone(
    const wire::MachineStatusMap& statuses) const {
  std::map<std::string, ZoneCount> counts;
  for (const auto& [name, machine] : replica_.machines) {
    const auto found = statuses.find(name);
    const auto type = replica_.types.find(machine.type);
    if (found == statuses.end() || type == replica_.types.end()) continue;
    const wire::MachineStatus& status = found->second;
    const double age = context_.now.wall - machine.rented;
    if (!status.is_up && age < model::kLateBoot * type->second.boot_s) continue;
    ZoneCount& count = counts[machine.zone];
    ++count.all;
    if (status.is_unreachable || !status.is_up) ++count.silent;
  }
  return counts;
}

// A zone is cut off if most owners say so, or most of its machines are silent. What is rented there
// would not be heard of either, and is rented elsewhere. Where no machine is left to show that the
// zone is back, a rental now and then does: being cut off ends after a lease's time.
void SilentMachines::update_cut_off_zones(const wire::MachineStatusMap& statuses,
                                          const std::set<std::string>& unreachable_to_most) {
  const std::map<std::string, ZoneCount> counts = count_by_zone(statuses);
  std::set<std::string> cut_off;
  for (const auto& [zone, count] : counts) {
    if (count.all < kFewestMachinesToJudge) continue;
    if (unreachable_to_most.count(zone) != 0 || count.silent * 2 > count.all)
      cut_off.insert(zone);
    else if (count.silent * 4 < count.all)
      cut_off_until_.erase(zone);
  }
  // All of them at once: more likely the controllers' own connection.
  if (cut_off.size() == counts.size()) return;
  for (const auto& zone : cut_off) {
    double& until = cut_off_until_[zone];
    if (until <= context_.now.steady)
      context_.info("fleet", "zone {}: cut off, {} of {} machines silent; nothing is rented there",
                    zone, counts.at(zone).silent, counts.at(zone).all);
    until = context_.now.steady + context_.settings.platform.lease_s;
  }
}

void SilentMachines::update_space(const wire::MachineStatusMap& statuses) {
  if (context_.now.steady < next_space_update_) return;
  next_space_update_ = context_.now.steady + context_.settings.platform.report_s;
  free_cpus_ = 0;
  used_cpus_.fill(0);
  for (const auto& [name, status] : statuses) {
    if (replica_.machine(name) == nullptr || !status.is_up || status.is_unreachable) continue;
    free_cpus_ += status.cpus_free;
    for (size_t priority = 0; priority < used_cpus_.size(); ++priority)
      used_cpus_[priority] += status.cpus_by_priority[priority];
  }
}

bool SilentMachines::claim_release(const model::Machine& machine) {
  const double now = context_.now.steady;
  const double silent_s = now - silent_since_.emplace(machine.name, now).first->second;
  // Its own owner reports that the zone is unreachable together with the machine's silence; most
  // owners' reports may come later.
  const bool unreachable = unreachable_to_owner_.count({machine.partition, machine.zone}) != 0;
  if ((unreachable || is_cut_off(machine.zone)) &&
      !claim_release_in_cut_off_zone(machine, silent_s))
    return false;
  if (replica_.load(machine.name).replica_cpus <= 0) return true;
  return claim_place_in_batch(silent_s);
}

// In a zone that is cut off work goes on until the machines' leases end; to release them would only
// end it sooner, as there is not as much space elsewhere. After that it starts again as soon as the
// zone is back, where its images are, unless there is space for it elsewhere by then.
bool SilentMachines::claim_release_in_cut_off_zone(const model::Machine& machine, double silent_s) {
  const PlatformSettings& platform = context_.settings.platform;
  // A machine counts as silent only after that time; its lease began before.
  const double unheard_s = context_.settings.operators.machine_timeout_reports * platform.report_s;
  if (silent_s < platform.lease_s - unheard_s) return false;
  const store::MachineLoad& load = replica_.load(machine.name);
  if (load.replica_cpus <= 0 && claim_space_for(load)) return true;
  return silent_s >= kGivenUpLeases * platform.lease_s || replica_fits_elsewhere(machine);
}

// Whether the tasks on a machine have space elsewhere, free or in use by lower work that makes room
// for them; it is theirs then.
bool SilentMachines::claim_space_for(const store::MachineLoad& load) {
  size_t highest = 0;
  for (const model::TaskRef& task : load.tasks)
    highest = std::max(highest, static_cast<size_t>(replica_.job(task.job)->spec.priority));
  const auto lower_end = used_cpus_.begin() + static_cast<std::ptrdiff_t>(highest);
  if (load.used.cpus > std::accumulate(used_cpus_.begin(), lower_end, free_cpus_)) return false;
  double needed = load.used.cpus;
  const auto claim_from = [&needed](double& cpus) {
    const double claimed = std::min(cpus, needed);
    cpus -= claimed;
    needed -= claimed;
  };
  claim_from(free_cpus_);
  std::for_each(used_cpus_.begin(), lower_end, claim_from);
  return true;
}

// Whether some replica on a machine of a cut off zone could run in another zone, where lower work
// makes room for it.
bool SilentMachines::replica_fits_elsewhere(const model::Machine& machine) const {
  for (const model::TaskRef& task : replica_.placed_on(machine.name)) {
    const model::Job& job = *replica_.job(task.job);
    const model::JobSpec& spec = job.spec;
    if (spec.shape != model::Shape::kService || job.over()) continue;
    if (spec.one_zone || !spec.zone.empty()) continue;
    if (!spec.spread || fits_other_zone(job, machine.zone)) return true;
  }
  return false;
}

// Whether another zone than this may take one more task of a spread job.
bool SilentMachines::fits_other_zone(const model::Job& job, const std::string& zone) const {
  std::map<std::string, uint32_t> tasks_by_zone = replica_.tasks_by_zone(job);
  for (const auto& [name, type] : replica_.types)
    for (const auto& other : type.zones)
      if (other != zone && tasks_by_zone[other] < job.spec.most_in_zone()) return true;
  return false;
}

// Several machines with replicas that fall silent together are released some at a time: the images
// that the first ones' replicas bring to their new machines let the next ones' start at once, and
// until then those may still be serving. Late in their lease they are about to be killed anyway.
bool SilentMachines::claim_place_in_batch(double silent_s) {
  const PlatformSettings& platform = context_.settings.platform;
  if (context_.now.steady >= next_batch_) {
    next_batch_ = context_.now.steady + kBatchPauseReports * platform.report_s;
    const auto machines = static_cast<double>(replica_.machines.size());
    left_in_batch_ = std::max(1, static_cast<int>(kBatchPart * machines));
  }
  if (left_in_batch_ <= 0 && silent_s < kLongestWaitLeases * platform.lease_s) return false;
  --left_in_batch_;
  return true;
}

}  // namespace rooksill::fleet
