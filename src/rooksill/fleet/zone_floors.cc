#include "rooksill/fleet/zone_floors.h"

#include <algorithm>
#include <limits>

#include "rooksill/model/job.h"

namespace rooksill::fleet {

namespace {
const std::string kAllZones;              // the empty name, which sorts before the zones' names
constexpr double kFloorReplicas = 2;      // of the zone's largest, whose space the zone keeps
constexpr double kFloorOfUse = 0.1;       // and at least that part of what its replicas use
constexpr double kFloorFullMachines = 1;  // the fullest ones, whose replicas all zones can take
}  // namespace

void ZoneFloors::measure(const wire::MachineStatusMap& statuses) {
  zones_.clear();
  for (const auto& [name, type] : replica_.types)
    for (const auto& zone : type.zones) zones_[zone];
  std::map<std::string, double> largest_replicas, used_by_replicas;  // CPUs by zone
  double fullest_machine = 0;
  for (const auto& [name, machine] : replica_.machines) {
    if (machine.spot) continue;
    const double used = replica_.load(name).replica_cpus;
    fullest_machine = std::max(fullest_machine, used);
    used_by_replicas[machine.zone] += used;
    if (used > 0) record_largest_replica(machine, largest_replicas);
    if (counts(machine, statuses))
      add_available(machine.zone, replica_.types.at(machine.type).capacity.cpus - used);
  }
  add_rentals();
  // Machines are lost by the dozen where there are hundreds, and a spread job's replicas have to
  // come back in the zone that they were lost from: hence the part of what is in use.
  for (const auto& [zone, cpus] : largest_replicas)
    zones_[zone].floor = std::max(kFloorReplicas * cpus, kFloorOfUse * used_by_replicas[zone]);
  zones_[kAllZones].floor = kFloorFullMachines * fullest_machine;
}

bool ZoneFloors::counts(const model::Machine& machine,
                        const wire::MachineStatusMap& statuses) const {
  if (returns_.is_draining(machine.name) || returns_.is_leaving(machine.name)) return false;
  const auto status = statuses.find(machine.name);
  if (status == statuses.end() || status->second.is_unreachable || status->second.is_faulty) return false;
  return replica_.types.count(machine.type) != 0;
}

void ZoneFloors::add_available(const std::string& zone, double cpus) {
  zones_[zone].available += cpus;
  zones_[kAllZones].available += cpus;
}

void ZoneFloors::add_rentals() {
  for (const auto& [name, rental] : rentals_.under_way()) {
    const auto type = replica_.types.find(rental.offer.pool.type);
    if (rental.offer.pool.spot || type == replica_.types.end()) continue;
    add_available(rental.offer.zone, rental.count * type->second.capacity.cpus);
  }
}

void ZoneFloors::record_largest_replica(const model::Machine& machine,
                                        std::map<std::string, double>& largest_by_zone) const {
  for (const model::TaskRef& task : replica_.placed_on(machine.name)) {
    const model::JobSpec& spec = replica_.job(task.job)->spec;
    if (spec.shape != model::Shape::kService) continue;
    double& largest = largest_by_zone[machine.zone];
    largest = std::max(largest, spec.request.cpus);
  }
}

bool ZoneFloors::can_spare(const model::Machine& machine) const {
  const auto type = replica_.types.find(machine.type);
  if (type == replica_.types.end()) return false;
  // The machine's own space goes, and its replicas take space elsewhere: all of its CPUs.
  const double cpus = type->second.capacity.cpus;
  const auto has_spare = [&](const std::string& zone) {
    const Space& space = zones_.at(zone);
    return space.available - cpus >= space.floor;
  };
  return has_spare(machine.zone) && has_spare(kAllZones);
}

void ZoneFloors::subtract(const model::Machine& machine, const model::MachineType& type) {
  zones_[machine.zone].available -= type.capacity.cpus;
  zones_[kAllZones].available -= type.capacity.cpus;
}

void ZoneFloors::top_up() {
  for (const auto& [zone, space] : zones_) {
    if (space.floor <= 0 || space.available >= space.floor) continue;
    if (!keep_draining_machine(zone)) rent(zone, space);
  }
}

// False if there is none in the zone.
bool ZoneFloors::keep_draining_machine(const std::string& zone) {
  for (const auto& name : returns_.draining()) {
    const model::Machine* machine = replica_.machine(name);
    if (machine == nullptr || machine->spot || returns_.is_releasing(name)) continue;
    if (zone != kAllZones && machine->zone != zone) continue;
    context_.info("fleet", "machine {} is kept: little room in {}", name, zone);
    returns_.stop_draining(name);
    return true;
  }
  return false;
}

void ZoneFloors::rent(const std::string& zone, const Space& space) {
  const std::optional<Purchase> purchase = cheapest(zone);
  if (!purchase) return;
  const int count = std::max(1, static_cast<int>((space.floor - space.available) / purchase->cpus));
  rentals_.request(purchase->offer, count,
                   zone == kAllZones ? "little room in all" : "little room in the zone");
}

// In one zone the lowest price will do; for all of them it is the price of a CPU that counts.
std::optional<ZoneFloors::Purchase> ZoneFloors::cheapest(const std::string& zone) const {
  Purchase best;
  double best_price = std::numeric_limits<double>::infinity();
  for (const auto& [name, type] : replica_.types)
    for (const auto& in_zone : type.zones) {
      Offer offer;
      offer.pool.type = name;
      offer.zone = in_zone;
      const double cpus = type.capacity.cpus;
      const double price = zone == kAllZones && cpus > 0 ? type.price / cpus : type.price;
      if (zone != kAllZones && in_zone != zone) continue;
      if (!capacity_.is_open(offer) || price >= best_price) continue;
      best_price = price;
      best = {offer, cpus};
    }
  if (best.offer.zone.empty() || best.cpus <= 0) return std::nullopt;
  return best;
}

}  // namespace rooksill::fleet
