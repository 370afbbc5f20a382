// The pending tasks of one job, and where they may run.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "rooksill/fleet/free_space.h"
#include "rooksill/model/job.h"
#include "rooksill/store/replica.h"

namespace rooksill::fleet {

// The number of tasks of one job that could not be placed for lack of free space.
struct PendingTasks {
  const model::Job* job = nullptr;
  uint32_t count = 0;
};

// Simulates the placement of a job's pending tasks on free space, within the job's constraints on
// zones and partitions, to determine how many tasks need another machine. No task is placed.
class JobDemand {
 public:
  JobDemand(const PendingTasks& pending, const store::Replica& replica);

  // Restrict the tasks to this partition or zone.
  void restrict_to_partition(int partition) { partition_ = partition; }
  void restrict_to_zone(const std::string& zone) { zone_ = zone; }

  // Returns the specification of the job.
  const model::JobSpec& spec() const { return spec_; }
  // Returns the partition that the tasks are restricted to, or kAnyPartition.
  int partition() const { return partition_; }
  // Returns the number of tasks not assigned to free space.
  uint32_t unassigned() const { return unassigned_; }
  // Returns how many more tasks may run in the zone.
  uint32_t zone_allowance(const std::string& zone) const;
  // Assigns as many tasks as possible to the free space and subtracts their resources from it.
  // Returns the number of tasks assigned.
  uint32_t assign_to(FreeSpace& space);

 private:
  bool can_use(const FreeSpace& space) const;

  const model::JobSpec& spec_;
  uint32_t unassigned_;
  int partition_ = kAnyPartition;
  std::string zone_;  // the only zone allowed; empty: any
  // By zone: the tasks assigned and, if the job is spread or restricted to one zone, those placed.
  std::map<std::string, uint32_t> tasks_by_zone_;
};

}  // namespace rooksill::fleet
