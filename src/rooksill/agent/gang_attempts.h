// The attempts of gang jobs that run on this controller's workers.
#pragma once

#include "rooksill/agent/worker_table.h"
#include "rooksill/changes/task_change_queue.h"
#include "rooksill/model/job.h"
#include "rooksill/placement/evicted_tasks.h"
#include "rooksill/store/replica.h"

namespace rooksill::agent {

// All tasks of a gang's attempt run together: once one of them is gone, the rest is stopped, and
// the next attempt waits until all of it is gone.
class GangAttempts {
 public:
  // All arguments must outlive this.
  GangAttempts(const store::Replica& replica, const changes::TaskChangeQueue& changes,
               WorkerTable& workers, placement::EvictedTasks& evicted)
      : replica_(replica), changes_(changes), workers_(workers), evicted_(evicted) {}

  // Whether a task of the attempt that the store has is gone, or known here to be.
  bool has_lost_task(const model::Job& job) const;
  // Evicts all of the attempt's tasks on this controller's workers at once: those that are stopped
  // later than `gang_peer_s` after the first save nothing.
  void evict_all(const model::Job& job);

 private:
  bool is_lost(const model::TaskShard& shard, const model::TaskRef& ref,
            const model::TaskState& task) const;

  const store::Replica& replica_;
  const changes::TaskChangeQueue& changes_;
  WorkerTable& workers_;
  placement::EvictedTasks& evicted_;
};

}  // namespace rooksill::agent
