#include "rooksill/fleet/silent_machines.h"

#include <algorithm>
#include <numeric>

#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"

namespace rooksill::fleet {

namespace {
constexpr double kSilentPauseReports = 1.5;  // between releases of silent machines with replicas
constexpr double kSilentPart = 0.05;         // of all machines that are released at a time
constexpr double kSilentLease = 0.5;         // part of a lease that the last of them may wait
constexpr double kCutLeases = 2;  // leases after which a cut zone's machines are given up
constexpr int kZoneLeast = 4;     // machines in a zone below which their silence says nothing of it
}  // namespace

void SilentMachines::observe(const wire::MachineStatusMap& statuses,
                             const UnreachableZones& unreachable) {
  unreachable_to_owner_ = unreachable.to_owner;
  std::erase_if(silent_since_, [&](const auto& s) {
    auto v = statuses.find(s.first);
    return v == statuses.end() || !v->second.silent;
  });
  judge_zones(statuses, unreachable.to_most);
  sum_room(statuses);
}

bool SilentMachines::cut_off(const std::string& zone) const {
  auto it = cut_off_until_.find(zone);
  return it != cut_off_until_.end() && it->second > ctx_.now.steady;
}

// A zone that is cut off: its owners say so, or most of its machines are silent. What is rented
// there would not be heard of either, and is rented elsewhere. Where no machine is left to show
// that the zone is back, a rental does, now and then.
void SilentMachines::judge_zones(const wire::MachineStatusMap& statuses,
                                 const std::set<std::string>& unreachable) {
  std::map<std::string, std::pair<int, int>> seen;  // silent or late, of all
  for (const auto& [name, m] : replica_.machines) {
    auto v = statuses.find(name);
    auto type = replica_.types.find(m.type);
    if (v == statuses.end() || type == replica_.types.end()) continue;
    const double age = ctx_.now.wall - m.rented;
    if (!v->second.up && age < model::kLateBoot * type->second.boot_s) continue;
    auto& [silent, all] = seen[m.zone];
    ++all;
    if (v->second.silent || !v->second.up) ++silent;
  }
  std::set<std::string> cut;
  for (const auto& [zone, n] : seen) {
    if (n.second < kZoneLeast) continue;
    if (unreachable.count(zone) != 0 || n.first * 2 > n.second)
      cut.insert(zone);
    else if (n.first * 4 < n.second)
      cut_off_until_.erase(zone);
  }
  // All of them at once: likelier the controllers' own trouble.
  if (cut.size() == seen.size()) return;
  for (const auto& zone : cut) {
    double& until = cut_off_until_[zone];
    if (until <= ctx_.now.steady)
      ctx_.info("fleet", "zone {}: cut off, {} of {} machines silent; nothing is rented there",
                zone, seen[zone].first, seen[zone].second);
    until = ctx_.now.steady + ctx_.settings.platform.lease_s;
  }
}

void SilentMachines::sum_room(const wire::MachineStatusMap& statuses) {
  if (ctx_.now.steady < next_room_) return;
  next_room_ = ctx_.now.steady + ctx_.settings.platform.report_s;
  room_elsewhere_ = 0;
  lower_elsewhere_.fill(0);
  for (const auto& [name, v] : statuses) {
    if (replica_.machine(name) == nullptr || !v.up || v.silent) continue;
    room_elsewhere_ += v.cpus_free;
    for (size_t k = 0; k < lower_elsewhere_.size(); ++k)
      lower_elsewhere_[k] += v.cpus_by_priority[k];
  }
}

bool SilentMachines::may_release(const model::Machine& machine) {
  const double now = ctx_.now.steady;
  const double silent_for = now - silent_since_.emplace(machine.name, now).first->second;
  // Its own owner's word is there with the word that it is silent; the others' may come later.
  const bool unreachable = unreachable_to_owner_.count({machine.partition, machine.zone}) != 0;
  if ((unreachable || cut_off(machine.zone)) && !lease_over_and_may_leave(machine, silent_for))
    return false;
  if (replica_.load(machine.name).replica_cpus <= 0) return true;
  return take_turn(silent_for);
}

// In a zone that is cut off work goes on until the machines' leases end; to release them would only
// end it sooner, for want of as much room elsewhere. Afterwards it starts again as soon as the zone
// is back, with its images there, unless there is room for it elsewhere by then.
bool SilentMachines::lease_over_and_may_leave(const model::Machine& machine, double silent_for) {
  const auto& p = ctx_.settings.platform;
  const double heard = ctx_.settings.operators.machine_silence_reports * p.report_s;
  if (silent_for < p.lease_s - heard) return false;
  const store::MachineLoad& load = replica_.load(machine.name);
  const bool room = load.replica_cpus <= 0 && take_room_elsewhere(load);
  return room || silent_for >= kCutLeases * p.lease_s || replica_fits_elsewhere(machine);
}

// Whether the arrays on a machine of a cut zone have room elsewhere, idle or in use by lower work
// that makes room for them; it is theirs then.
bool SilentMachines::take_room_elsewhere(const store::MachineLoad& load) {
  size_t highest = 0;
  for (const auto& ref : load.tasks)
    highest = std::max(highest, static_cast<size_t>(replica_.job(ref.job)->spec.priority));
  const auto lower_end = lower_elsewhere_.begin() + static_cast<long>(highest);
  if (load.used.cpus > std::accumulate(lower_elsewhere_.begin(), lower_end, room_elsewhere_))
    return false;
  double left = load.used.cpus;
  auto take_from = [&left](double& room) {
    const double taken = std::min(room, left);
    room -= taken;
    left -= taken;
  };
  take_from(room_elsewhere_);
  std::for_each(lower_elsewhere_.begin(), lower_end, take_from);
  return true;
}

// Whether some replica on a machine of a cut zone could run in another one, for which lower work
// there makes room.
bool SilentMachines::replica_fits_elsewhere(const model::Machine& machine) const {
  std::set<std::string> all_zones;
  for (const auto& [name, type] : replica_.types)
    all_zones.insert(type.zones.begin(), type.zones.end());
  for (const auto& ref : replica_.placed_on(machine.name)) {
    const model::Job& job = *replica_.job(ref.job);
    const model::JobSpec& s = job.spec;
    if (s.shape != model::Shape::kService || job.over() || s.one_zone || !s.zone.empty()) continue;
    if (!s.spread) return true;
    auto zones = replica_.tasks_by_zone(job);
    for (const auto& zone : all_zones)
      if (zone != machine.zone && zones[zone] < s.most_in_zone()) return true;
  }
  return false;
}

// Several machines with replicas that fall silent together are released some at a time: what the
// first ones' replicas bring to their new machines lets the next ones' start at once, and until
// then those may still be serving. Past most of the lease they are about to be killed anyway.
bool SilentMachines::take_turn(double silent_for) {
  const auto& p = ctx_.settings.platform;
  if (ctx_.now.steady >= next_turn_) {
    next_turn_ = ctx_.now.steady + kSilentPauseReports * p.report_s;
    turn_left_ =
        std::max(1, static_cast<int>(kSilentPart * static_cast<double>(replica_.machines.size())));
  }
  if (turn_left_ <= 0 && silent_for < kSilentLease * p.lease_s) return false;
  --turn_left_;
  return true;
}

}  // namespace rooksill::fleet
