// The attempts of gang jobs that run on this controller's workers.
#pragma once

#include "rooksill/agent/worker_table.h"
#include "rooksill/changes/task_change_queue.h"
#include "rooksill/model/job.h"
#include "rooksill/placement/evicted_tasks.h"
#include "rooksill/store/replica.h"

namespace rooksill::agent {

// Tracks the attempts of gang jobs. All tasks of an attempt run together: once one of them is lost,
// the others are stopped, and the next attempt waits until all of them have ended.
class GangAttempts {
 public:
  // All arguments must outlive this.
  GangAttempts(const store::Replica& replica, const changes::TaskChangeQueue& changes,
               WorkerTable& workers, placement::EvictedTasks& evicted)
      : replica_(replica), changes_(changes), workers_(workers), evicted_(evicted) {}

  // Returns whether a task of the job's current attempt is lost, either according to the store or
  // to a change that is not yet written to it.
  bool has_lost_task(const model::Job& job) const;
  // Evicts all tasks of the attempt on this controller's workers in one step: a task that is
  // stopped more than `gang_peer_s` after the first one saves no work.
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
