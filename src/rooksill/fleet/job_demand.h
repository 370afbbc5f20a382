// The waiting tasks of one job, and where they may run.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "rooksill/fleet/free_space.h"
#include "rooksill/model/job.h"
#include "rooksill/store/replica.h"

namespace rooksill::fleet {

// Tasks of one job that found no free space.
struct PendingTasks {
  const model::Job* job = nullptr;
  uint32_t count = 0;
};

// Assigns a job's waiting tasks to free spaces in thought, within the job's bounds on zones and
// partitions, to find out how many tasks need another machine. Nothing is placed by this.
class JobDemand {
 public:
  JobDemand(const PendingTasks& pending, const store::Replica& replica);

  // The tasks may only go to this partition.
  void restrict_to_partition(int partition) { partition_ = partition; }
  void restrict_to_zone(const std::string& zone) { zone_ = zone; }

  const model::JobSpec& spec() const { return spec_; }
  int partition() const { return partition_; }  // kAnyPartition: any
  // Tasks that have no space yet.
  uint32_t unassigned() const { return unassigned_; }
  // How many more tasks may go to the zone.
  uint32_t zone_allowance(const std::string& zone) const;
  // Takes as much of the space as the tasks can use. Returns the number of tasks assigned to it.
  uint32_t assign_to(FreeSpace& space);

 private:
  bool can_use(const FreeSpace& space) const;

  const model::JobSpec& spec_;
  uint32_t unassigned_;
  int partition_ = kAnyPartition;
  std::string zone_;                               // the only one allowed; empty: any
  std::map<std::string, uint32_t> tasks_by_zone_;  // running and assigned; of bounded jobs only
};

}  // namespace rooksill::fleet
