#include "rooksill/fleet/zone_reserves.h"

#include <algorithm>
#include <limits>

#include "rooksill/model/job.h"

namespace rooksill::fleet {

namespace {
const std::string kAllZones;  // empty, so that it sorts before all zone names
// A zone reserves CPUs for this many copies of its largest replica, and at least this ratio of the
// CPUs that its replicas use.
constexpr double kReservedLargestReplicas = 2;
constexpr double kReservedUseRatio = 0.1;
// All zones together reserve the replica CPUs of this many machines with the most of them.
constexpr double kReservedFullestMachines = 1;
}  // namespace

void ZoneReserves::measure(const wire::MachineStatusMap& statuses) {
  capacity_by_zone_.clear();
  for (const auto& [name, type] : replica_.types)
    for (const auto& zone : type.zones) capacity_by_zone_[zone];
  std::map<std::string, double> largest_replicas, used_by_replicas;  // CPUs by zone
  double highest_replica_use = 0;
  for (const auto& [name, machine] : replica_.machines()) {
    if (machine.spot) continue;
    const double used = replica_.load(name).service_cpus;
    highest_replica_use = std::max(highest_replica_use, used);
    used_by_replicas[machine.zone] += used;
    if (used > 0) record_largest_replica(machine, largest_replicas);
    const auto type = replica_.types.find(machine.type);
    if (type != replica_.types.end() && is_available(machine, statuses))
      add_available(machine.zone, type->second.capacity.cpus - used);
  }
  add_rentals();
  // A fleet of hundreds of machines loses dozens at a time, and the replicas of a spread job must
  // restart in the zone in which they were lost, so the reserve grows with the CPUs in use.
  for (const auto& [zone, cpus] : largest_replicas)
    capacity_by_zone_[zone].reserved =
        std::max(kReservedLargestReplicas * cpus, kReservedUseRatio * used_by_replicas[zone]);
  capacity_by_zone_[kAllZones].reserved = kReservedFullestMachines * highest_replica_use;
}

bool ZoneReserves::is_available(const model::Machine& machine,
                                const wire::MachineStatusMap& statuses) const {
  if (returns_.is_draining(machine.name) || returns_.is_leaving(machine.name)) return false;
  const auto status = statuses.find(machine.name);
  return status != statuses.end() && !status->second.is_unreachable && !status->second.is_faulty;
}

void ZoneReserves::add_available(const std::string& zone, double cpus) {
  capacity_by_zone_[zone].available += cpus;
  capacity_by_zone_[kAllZones].available += cpus;
}

void ZoneReserves::add_rentals() {
  for (const auto& [name, rental] : rentals_.unresolved()) {
    const auto type = replica_.types.find(rental.offer.pool.type);
    if (rental.offer.pool.spot || type == replica_.types.end()) continue;
    add_available(rental.offer.zone, rental.count * type->second.capacity.cpus);
  }
}

void ZoneReserves::record_largest_replica(const model::Machine& machine,
                                          std::map<std::string, double>& largest_by_zone) const {
  for (const model::TaskRef& task : replica_.placed_on(machine.name)) {
    const model::Job* job = replica_.job(task.job);
    if (job == nullptr || job->spec.shape != model::Shape::kService) continue;
    double& largest = largest_by_zone[machine.zone];
    largest = std::max(largest, job->spec.request.cpus);
  }
}

bool ZoneReserves::can_spare(const model::Machine& machine) const {
  const auto type = replica_.types.find(machine.type);
  if (type == replica_.types.end()) return false;
  // The reserve loses all of the machine's CPUs: its free capacity goes, and its replicas need
  // capacity elsewhere.
  const double cpus = type->second.capacity.cpus;
  const auto has_spare = [&](const std::string& zone) {
    const ZoneCapacity& capacity = capacity_by_zone_.at(zone);
    return capacity.available - cpus >= capacity.reserved;
  };
  return has_spare(machine.zone) && has_spare(kAllZones);
}

void ZoneReserves::subtract(const model::Machine& machine, const model::MachineType& type) {
  capacity_by_zone_[machine.zone].available -= type.capacity.cpus;
  capacity_by_zone_[kAllZones].available -= type.capacity.cpus;
}

void ZoneReserves::replenish() {
  for (const auto& [zone, capacity] : capacity_by_zone_) {
    if (capacity.reserved <= 0 || capacity.available >= capacity.reserved) continue;
    if (!keep_draining_machine(zone)) rent_shortfall(zone, capacity);
  }
}

// Cancels the drain of one machine in the zone. Returns false if none is draining there.
bool ZoneReserves::keep_draining_machine(const std::string& zone) {
  for (const auto& name : returns_.draining()) {
    const model::Machine* machine = replica_.machine(name);
    if (machine == nullptr || machine->spot || returns_.is_being_released(name)) continue;
    if (zone != kAllZones && machine->zone != zone) continue;
    context_.info("fleet", "drain of machine {} cancelled: capacity below the reserve of zone '{}'",
                  name, zone);
    returns_.stop_draining(name);
    return true;
  }
  return false;
}

void ZoneReserves::rent_shortfall(const std::string& zone, const ZoneCapacity& capacity) {
  const std::optional<RentalChoice> choice = cheapest_offer(zone);
  if (!choice) return;
  const int count =
      std::max(1, static_cast<int>((capacity.reserved - capacity.available) / choice->cpus));
  rentals_.request(
      choice->offer, count,
      zone == kAllZones ? "below the reserve of all zones" : "below the zone's reserve");
}

// Returns the offer with the lowest price per machine for a single zone, or with the lowest price
// per CPU for all zones.
std::optional<ZoneReserves::RentalChoice> ZoneReserves::cheapest_offer(
    const std::string& zone) const {
  RentalChoice best;
  double best_price = std::numeric_limits<double>::infinity();
  for (const auto& [name, type] : replica_.types)
    for (const auto& in_zone : type.zones) {
      Offer offer;
      offer.pool.type = name;
      offer.zone = in_zone;
      const double cpus = type.capacity.cpus;
      const double price = zone == kAllZones && cpus > 0 ? type.price / cpus : type.price;
      if (zone != kAllZones && in_zone != zone) continue;
      if (!capacity_limits_.can_request(offer) || price >= best_price) continue;
      best_price = price;
      best = {offer, cpus};
    }
  if (best.offer.zone.empty() || best.cpus <= 0) return std::nullopt;
  return best;
}

}  // namespace rooksill::fleet
