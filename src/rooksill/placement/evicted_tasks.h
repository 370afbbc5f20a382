// Task attempts that have been evicted and still run on their machines.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "rooksill/model/job.h"

namespace rooksill::placement {

// The evicted attempt of each task. The worker is told to stop the attempt because of a preemption,
// the drain of its machine or the loss of other tasks of its gang. An entry stays until the attempt
// has left its machine.
class EvictedTasks {
 public:
  // Records the attempt as evicted. Returns false if any attempt of the task was recorded already;
  // `attempt` replaces that one.
  bool mark_evicted(const model::TaskRef& task, uint64_t attempt) {
    return attempts_.insert_or_assign(task, attempt).second;
  }
  // Returns whether any attempt of the task is recorded as evicted.
  bool contains(const model::TaskRef& task) const { return attempts_.count(task) != 0; }
  // Returns whether this attempt of the task is recorded as evicted.
  bool contains(const model::TaskRef& task, uint64_t attempt) const {
    auto found = attempts_.find(task);
    return found != attempts_.end() && found->second == attempt;
  }
  // Removes the attempts for which `is_gone` returns true.
  void remove_if(const std::function<bool(const model::TaskRef& task, uint64_t attempt)>& is_gone) {
    std::erase_if(attempts_, [&](const auto& entry) { return is_gone(entry.first, entry.second); });
  }

 private:
  std::map<model::TaskRef, uint64_t> attempts_;  // the attempt's number, by task
};

}  // namespace rooksill::placement
