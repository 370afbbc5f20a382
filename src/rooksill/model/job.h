// Jobs and their tasks, as every controller knows them from the key-value store.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/model/resources.h"

namespace rooksill::model {

// How a job's tasks belong together.
enum class Shape {
  kArray,    // independent tasks, each of which runs to completion
  kService,  // replicas, which run until the job is cancelled
  kGang      // tasks that start together or not at all
};

// Work may preempt work of a lower priority.
enum class Priority { kIdle = 0, kStandard = 1, kUrgent = 2, kProd = 3 };
inline constexpr int kPriorityCount = 4;

// What a user asked for. Nothing here changes after the job was accepted.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  std::string image;
  std::string zone;  // the only one allowed; empty: any
  Shape shape = Shape::kArray;
  Priority priority = Priority::kStandard;
  uint32_t tasks = 1;
  Resources request;  // of each task
  double image_gb = 0;
  std::vector<std::string> types;    // machine types that are allowed; empty: any
  bool one_zone = false;             // all tasks have to be in the same zone
  bool spread = false;               // at most most_in_zone() tasks may be in one zone
  bool spot = false;                 // may run on spot machines
  double estimate_s = 0;             // the user's estimate of a task's run time
  double checkpoint_s = 0;           // progress between two checkpoints; 0: tasks save nothing
  double save_s = 0;                 // that a task needs to save when it is stopped
  std::optional<double> deadline_s;  // from the submission

  // Of a spread job's tasks: half of them, rounded up.
  uint32_t max_tasks_in_zone() const { return (tasks + 1) / 2; }
  bool allows_type(const std::string& name) const;
  bool allows_any_type() const { return types.empty(); }
  // How many tasks fit in that much, as a whole number; infinite if a task takes nothing.
  double fitting_tasks(const Resources& available) const { return available.count_fitting(request); }
};

// A task by its job and its number in it.
struct TaskRef {
  std::string job;
  uint32_t index = 0;
  bool operator==(const TaskRef&) const = default;
  auto operator<=>(const TaskRef&) const = default;
};

// Where a task is, as the store has it.
struct TaskState {
  std::string machine;  // empty: on none
  uint64_t attempt = 0;
  bool done = false;
  bool operator==(const TaskState&) const = default;
};

// A run of a job's tasks that lie under one key of the store.
struct TaskShard {
  Revision revision = kNoRevision;  // kNoRevision: the key does not exist yet
  std::vector<TaskState> tasks;
  uint32_t done = 0;
  uint32_t placed = 0;  // tasks on a machine that is not known to be gone
  uint32_t unplaced() const { return static_cast<uint32_t>(tasks.size()) - done - placed; }
};

// A shard by its job and its number in it.
struct ShardId {
  std::string job;
  uint32_t index = 0;
  bool operator==(const ShardId&) const = default;
  auto operator<=>(const ShardId&) const = default;
};

enum class JobEnd { kOpen = 0, kCancelled = 1, kDone = 2 };

struct Job {
  JobSpec spec;
  Revision revision = kNoRevision;
  JobEnd end = JobEnd::kOpen;
  double submitted_at = 0;          // seconds of the wall clock
  uint32_t tasks_per_shard = 1;  // as the controller that accepted the job chose
  int image = 0;                 // the image's number in this process, for quick comparisons
  std::vector<TaskShard> shards;
  uint32_t done = 0;
  uint32_t placed = 0;

  bool over() const { return end != JobEnd::kOpen; }
  bool has_all_tasks_done() const { return done == spec.tasks; }
  ShardId shard_of(uint32_t task) const { return {spec.id, task / tasks_per_shard}; }
};

}  // namespace rooksill::model
