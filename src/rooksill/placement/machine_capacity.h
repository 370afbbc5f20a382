// The capacity of a machine and its use, as computed by its partition's owner.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/resources.h"

namespace rooksill::placement {

// A snapshot of one machine. The partition owner recomputes it whenever the tasks or the images on
// the machine change.
struct MachineCapacity {
  std::string machine;                       // name
  const model::MachineType* type = nullptr;  // null: the machine or its type is not known
  int partition = 0;
  bool is_spot = false;
  std::string zone;
  model::Resources free;  // not used by any task
  // Resources of evicted tasks that still run. They are not part of `free`.
  model::Resources evicting;
  uint32_t tasks = 0;                // number of tasks that count as running on the machine
  std::vector<int> cached_images;    // by the images' numbers in this process
  std::vector<int> fetching_images;  // needed by tasks on the machine and not in its cache yet
  // CPUs of the tasks that preemption may evict, by their priority.
  std::array<double, model::kPriorityCount> cpus_by_priority{};
  // Expected seconds until the machine's worker can be sent the start of an urgent task.
  double start_delay_s = 0;
  // Resources in use by each team. They are subtracted from the partition's quota usage before a
  // new snapshot is computed.
  std::map<std::string, model::Resources> usage_by_team;

  // Returns whether the image is in the machine's cache.
  bool has_image(int image) const;
  // Returns whether the machine is fetching the image.
  bool is_fetching(int image) const;
  // Adds one task of the job to the machine's usage.
  void add_task(const model::Job& job);
  // Removes one task that was added by add_task(). The job's image stays among those fetched.
  void remove_task(const model::JobSpec& spec);
  // Returns the CPUs that would be freed by evicting all tasks below this priority.
  double preemptible_cpus(model::Priority priority) const;
};

}  // namespace rooksill::placement
