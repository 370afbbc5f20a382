#include "rooksill/placement/ranking.h"

#include <algorithm>
#include <limits>

namespace rooksill::placement {

namespace {
constexpr double kMinFetchGbPerSecond = 0.01;  // limits the wait if the catalog has no fetch rate
// Weights of the terms of a score, which is lower for better machines.
constexpr double kFailedOnMachineWeight = 1e6;
constexpr double kOrdinaryForSpotWeight = 300;
constexpr double kFetchWeight = 100;  // if the image has to be fetched, and per second of the fetch
constexpr double kStartDelayWeight = 100;  // per second, for urgent tasks
constexpr double kPriceWeight = 50;        // per multiple of the price of the cheapest CPU
constexpr double kFreeCpusWeight = 10;     // multiplied by the free fraction of the CPUs
// Multiplies the fetch time of an image that the machine is fetching already, so that tasks with
// the same image tend to be placed together.
constexpr double kSharedFetchRatio = 0.5;

// Seconds to fetch the job's image if the machine fetches no other.
double fetch_time_s(const model::Job& job, const MachineCapacity& machine) {
  return job.spec.image_gb / std::max(kMinFetchGbPerSecond, machine.type->fetch_gb_per_s);
}
}  // namespace

double cheapest_cpu_price(const std::map<std::string, model::MachineType>& types) {
  double cheapest = std::numeric_limits<double>::infinity();
  for (const auto& [name, type] : types)
    if (type.capacity.cpus > 0) cheapest = std::min(cheapest, type.price / type.capacity.cpus);
  return cheapest > 0 ? cheapest : 1;
}

double start_wait_s(const model::Job& job, const MachineCapacity& machine) {
  if (machine.has_image(job.image)) return machine.start_delay_s;
  return machine.start_delay_s +
         fetch_time_s(job, machine) * (1 + static_cast<double>(machine.fetching_images.size()));
}

double score(const model::Job& job, const MachineCapacity& machine, double cheapest_price,
             bool has_failed_on_machine) {
  double total = 0;
  if (!machine.has_image(job.image)) {
    const bool is_shared = machine.is_fetching(job.image);
    const double other_fetches =
        static_cast<double>(machine.fetching_images.size()) - (is_shared ? 1 : 0);
    total += kFetchWeight * (1 + fetch_time_s(job, machine) * (is_shared ? kSharedFetchRatio : 1) *
                                     (1 + other_fetches));
  }
  if (job.spec.shape != model::Shape::kArray) total += kStartDelayWeight * machine.start_delay_s;
  if (job.spec.spot && !machine.is_spot) total += kOrdinaryForSpotWeight;
  if (has_failed_on_machine) total += kFailedOnMachineWeight;
  const double capacity = machine.type->capacity.cpus;
  if (capacity > 0) {
    const double price = machine.is_spot ? machine.type->spot_price : machine.type->price;
    total += kPriceWeight * price / capacity / cheapest_price;
    total += kFreeCpusWeight * machine.free.cpus / capacity;
  }
  return total;
}

}  // namespace rooksill::placement
