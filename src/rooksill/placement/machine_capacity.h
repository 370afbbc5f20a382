// What a machine has free, as the owner of its partition sees it.
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

// A snapshot of one machine: its owner computes it anew whenever tasks or images there change.
struct MachineCapacity {
  std::string machine;
  const model::MachineType* type = nullptr;  // null: the machine or its type is not known
  int partition = 0;
  bool spot = false;
  std::string zone;
  model::Resources free;
  // Resources of tasks that were told to stop and still run. They are not part of `free`.
  model::Resources vacating;
  uint32_t tasks = 0;
  std::vector<int> cached_images;    // by the images' numbers in this process
  std::vector<int> fetching_images;  // of tasks here, not in the cache yet
  // CPUs of the tasks that preemption may evict, by their priority.
  std::array<double, model::kPriorityCount> cpus_by_priority{};
  // Kept so that it can be taken back from the use of the partition when this is computed anew.
  std::map<std::string, model::Resources> use_by_team;

  bool has_image(int image) const;
  bool is_fetching(int image) const;
  // Takes a task of the job into the books.
  void add_task(const model::Job& job);
  // Takes one out that was added.
  void remove_task(const model::JobSpec& spec);
  // CPUs that come free when everything below this priority is evicted.
  double preemptible_cpus(model::Priority priority) const;
};

}  // namespace rooksill::placement
