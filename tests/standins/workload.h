// What a job's tasks do when they run, and how tasks are named.
#pragma once

#include <set>
#include <string>

namespace standins {

enum class Shape { kArray, kService, kGang };

struct Workload {
  std::string id, image;
  Shape shape = Shape::kArray;
  int tasks = 1;
  bool fails = false;  // each task exits with an error soon after its start
  double cpus = 1, memory_gb = 1, image_gb = 1;  // of one task
  double run_s = 10;
  double checkpoint_s = 0;  // 0: writes no checkpoints
  double save_s = 0;        // for a checkpoint on demand, when a task is stopped

  bool is_gang() const { return shape == Shape::kGang; }
  bool is_service() const { return shape == Shape::kService; }
};

struct TaskKey {
  std::string job;
  int index = 0;
  auto operator<=>(const TaskKey&) const = default;
};

// What the tasks of one attempt of a gang share, wherever they run. Times are -1 until they happen.
struct GangAttempt {
  std::set<int> ready;         // tasks that have their image and are still there
  double started_at = -1;      // when the last one was ready
  double task_lost_at = -1;    // when a task of the running gang disappeared
  double first_stop_at = -1;   // when the first of them was told to stop
  double progress = 0;         // seconds of work: when it started; then when it was stopped
  std::set<int> stopped_with_grace;  // with time enough to save
  bool saved = false;
  bool is_stopped_without_saving = false;  // one was told to stop with too little time
};

}  // namespace standins
