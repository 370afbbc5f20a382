// What the queue of task changes asks of those who keep the machines, and tells them.
#pragma once

#include <string>

#include "rooksill/changes/task_change.h"
#include "rooksill/model/job.h"

namespace rooksill::changes {

class TaskChangeListener {
 public:
  // A change was taken into the queue: from now on it counts on its machine as if it were written.
  virtual void on_change_added(const model::TaskRef& task, const TaskChange& change) = 0;

  // A change left the queue: it has been written, or will not be.
  virtual void on_change_removed(const model::TaskRef& task, const TaskChange& change) = 0;

  // Whether the cloud has announced that the machine will be taken.
  virtual bool is_terminating(const std::string& machine) const = 0;

 protected:
  ~TaskChangeListener() = default;
};

}  // namespace rooksill::changes
