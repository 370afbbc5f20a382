#include "rooksill/placement/machine_capacity.h"

#include <algorithm>
#include <cstddef>

namespace rooksill::placement {

namespace {
bool contains(const std::vector<int>& images, int image) {
  return std::find(images.begin(), images.end(), image) != images.end();
}
}  // namespace

bool MachineCapacity::has_image(int image) const { return contains(cached_images, image); }

bool MachineCapacity::is_fetching(int image) const { return contains(fetching_images, image); }

void MachineCapacity::add_task(const model::Job& job) {
  free -= job.spec.request;
  usage_by_team[job.spec.team] += job.spec.request;
  ++tasks;
  if (!has_image(job.image) && !is_fetching(job.image)) fetching_images.push_back(job.image);
}

void MachineCapacity::remove_task(const model::JobSpec& spec) {
  free += spec.request;
  usage_by_team[spec.team] -= spec.request;
  --tasks;
}

double MachineCapacity::preemptible_cpus(model::Priority priority) const {
  double cpus = 0;
  for (size_t lower_priority = 0; lower_priority < static_cast<size_t>(priority); ++lower_priority)
    cpus += cpus_by_priority[lower_priority];
  return cpus;
}

}  // namespace rooksill::placement
