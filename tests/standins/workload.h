// The simulated behavior of a job's tasks, task keys, and the shared state of gangs.
#pragma once

#include <set>
#include <string>

namespace standins {

// How the tasks of a job depend on each other: not at all, running until stopped, or only together.
enum class Shape { kArray, kService, kGang };

// What each task of a job does when it runs. Sizes and times are those of one task.
struct Workload {
  std::string id, image;
  Shape shape = Shape::kArray;
  int tasks = 1;
  bool fails = false;  // every task exits with an error shortly after its start
  double cpus = 1, memory_gb = 1, image_gb = 1;
  double run_s = 10;        // work of a task until it is done; services run until stopped
  double checkpoint_s = 0;  // progress between periodic checkpoints; 0: writes none
  double save_s = 0;        // time to write a checkpoint on demand when a task is stopped

  bool is_gang() const { return shape == Shape::kGang; }
  bool is_service() const { return shape == Shape::kService; }
};

// Identifies a task by its job's ID and its index in the job.
struct TaskKey {
  std::string job;
  int index = 0;
  auto operator<=>(const TaskKey&) const = default;
};

// State shared by the tasks of one attempt of a gang, on all their machines. Times of events that
// have not occurred are -1.
struct GangAttempt {
  std::set<int> ready_tasks;  // indexes of tasks that have fetched their image and are on a machine
  double started_at = -1;     // when the last task became ready
  double task_lost_at = -1;   // when a task of the running gang was first lost
  double first_stop_at = -1;  // when the first task received a stop command
  double progress = 0;        // seconds of work at started_at; at first_stop_at once that is set
  std::set<int> stopped_with_grace;        // indexes of tasks that were given enough time to save
  bool is_saved = false;                   // the gang's progress at first_stop_at is saved
  bool is_stopped_without_saving = false;  // a task was given too little time to save
};

}  // namespace standins
