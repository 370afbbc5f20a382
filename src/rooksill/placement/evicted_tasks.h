// Attempts of tasks that their workers are told to stop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "rooksill/model/job.h"

namespace rooksill::placement {

// Evicted to make room, to drain a machine, or because the rest of a gang is gone. An entry stays
// until the attempt has left its machine.
class EvictedTasks {
 public:
  // False if the task was evicted before, whichever attempt of it.
  bool mark_evicted(const model::TaskRef& task, uint64_t attempt) {
    return attempts_.insert_or_assign(task, attempt).second;
  }
  bool contains(const model::TaskRef& task) const { return attempts_.count(task) != 0; }
  bool contains(const model::TaskRef& task, uint64_t attempt) const {
    auto found = attempts_.find(task);
    return found != attempts_.end() && found->second == attempt;
  }
  // Forgets the attempts of which `is_gone` says so.
  void remove_if(const std::function<bool(const model::TaskRef& task, uint64_t attempt)>& is_gone) {
    std::erase_if(attempts_, [&](const auto& entry) { return is_gone(entry.first, entry.second); });
  }

 private:
  std::map<model::TaskRef, uint64_t> attempts_;
};

}  // namespace rooksill::placement
