// Jobs and their tasks, as read from the key-value store.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/model/resources.h"

namespace rooksill::model {

// How a job's tasks relate to each other.
enum class Shape {
  kArray,    // independent tasks, each of which runs to completion
  kService,  // replicas, which run until the job is cancelled
  kGang      // tasks that start together or not at all
};

// Priority of a job. Tasks may preempt tasks of a lower priority.
enum class Priority { kIdle = 0, kStandard = 1, kUrgent = 2, kProd = 3 };
// Number of priorities.
inline constexpr int kPriorityCount = 4;

// A job as the user submitted it. Immutable once the job has been accepted.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  std::string image;
  std::string zone;  // the only zone allowed; empty: any
  Shape shape = Shape::kArray;
  Priority priority = Priority::kStandard;
  uint32_t tasks = 1;                // number of tasks
  Resources request;                 // of each task
  double image_gb = 0;               // size of the image
  std::vector<std::string> types;    // allowed machine types; empty: any
  bool one_zone = false;             // all tasks have to be in the same zone
  bool spread = false;               // at most max_tasks_in_zone() tasks may be in one zone
  bool spot = false;                 // may run on spot machines
  double estimate_s = 0;             // the user's estimate of a task's run time
  double checkpoint_s = 0;           // run time between checkpoints; 0: tasks save no checkpoints
  double save_s = 0;                 // time a task needs to save its progress when it is stopped
  std::optional<double> deadline_s;  // relative to the submission

  // Returns how many tasks of a spread job may be in one zone: half of them, rounded up.
  uint32_t max_tasks_in_zone() const { return (tasks + 1) / 2; }
  // Returns whether tasks may run on machines of this type.
  bool allows_type(const std::string& name) const;
  // Returns whether tasks may run on machines of any type.
  bool allows_any_type() const { return types.empty(); }
  // Returns how many whole tasks fit into the available resources; infinity if a task requests
  // nothing.
  double fitting_tasks(const Resources& available) const {
    return available.count_fitting(request);
  }
};

// Identifies a task by its job and its index within the job.
struct TaskRef {
  std::string job;
  uint32_t index = 0;
  bool operator==(const TaskRef&) const = default;
  auto operator<=>(const TaskRef&) const = default;
};

// State of a task as stored.
struct TaskState {
  std::string machine;   // the machine it is placed on; empty: none
  uint64_t attempt = 0;  // number of the current or last attempt, from 1; 0: never placed
  bool done = false;     // completed; it will not be placed again
  bool operator==(const TaskState&) const = default;
};

// A contiguous range of a job's tasks that is stored under one key.
struct TaskShard {
  Revision revision = kNoRevision;  // kNoRevision: the key does not exist yet
  std::vector<TaskState> tasks;
  uint32_t done = 0;    // number of tasks that are done
  uint32_t placed = 0;  // number of tasks on a machine that is not known to be gone
  // Returns the number of tasks that need a machine.
  uint32_t unplaced() const { return static_cast<uint32_t>(tasks.size()) - done - placed; }
};

// Identifies a shard by its job and its index within the job.
struct ShardId {
  std::string job;
  uint32_t index = 0;
  bool operator==(const ShardId&) const = default;
  auto operator<=>(const ShardId&) const = default;
};

// Whether and how a job has ended.
enum class JobEnd { kOpen = 0, kCancelled = 1, kDone = 2 };

// A job with the states of its tasks.
struct Job {
  JobSpec spec;
  Revision revision = kNoRevision;
  JobEnd end = JobEnd::kOpen;
  double submitted_at = 0;        // wall clock, in seconds
  uint32_t tasks_per_shard = 1;   // chosen by the controller that accepted the job
  int image = 0;                  // the image's number within this process, for fast comparison
  std::vector<TaskShard> shards;  // empty once the job is done
  uint32_t done = 0;              // number of tasks that are done, over all shards
  uint32_t placed = 0;            // as TaskShard::placed, over all shards

  // Returns whether the job has been cancelled or is done.
  bool over() const { return end != JobEnd::kOpen; }
  // Returns whether all tasks are done; the job itself may still be open.
  bool has_all_tasks_done() const { return done == spec.tasks; }
  // Returns the shard that contains the task with this index.
  ShardId shard_of(uint32_t task) const { return {spec.id, task / tasks_per_shard}; }
};

}  // namespace rooksill::model
