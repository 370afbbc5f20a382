// The leader's view of free capacity in each partition.
#pragma once

#include <array>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/resources.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::leader {

// The machines of one partition that are of the same type and in the same zone, and are all spot
// machines or all ordinary ones.
struct MachinePool {
  const model::MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  model::Resources free;
  // CPUs of tasks there that are not being stopped.
  std::array<double, model::kPriorityCount> cpus_by_priority{};
  // Free CPUs on machines that have an image.
  std::unordered_map<std::string, double> free_cpus_by_image;

  // CPUs that preempting all tasks of a lower priority would free.
  double cpus_below(model::Priority priority) const;
};

// Which machines a job's tasks may run on.
struct MachineFilter {
  const model::JobSpec* spec = nullptr;
  std::string zone;  // the only one allowed; empty: any
  bool allows(const MachinePool& pool) const;
};

// Free capacity by partition, as owners last reported it and less what was routed there since. Soft
// state: a view that is out of date costs time, since owners place only where there is room.
class CapacityView {
 public:
  explicit CapacityView(const store::Replica& replica) : replica_(replica) {}

  // Starts again from what owners report of their machines.
  void rebuild(const wire::MachineStatusMap& statuses);
  // By partition; a partition of which nothing was reported has no pools.
  const std::vector<std::vector<MachinePool>>& pools();
  // Takes off what so many tasks will use in a partition, so that the next job finds less room
  // there also before the owner has reported it.
  void deduct(int partition, const MachineFilter& filter, double tasks);

 private:
  const store::Replica& replica_;
  std::vector<std::vector<MachinePool>> pools_;  // by partition
};

}  // namespace rooksill::leader
