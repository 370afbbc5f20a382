// The interface between the queue of task changes and the partition owner, which keeps the state of
// the machines.
#pragma once

#include <string>

#include "rooksill/changes/task_change.h"
#include "rooksill/model/job.h"

namespace rooksill::changes {

// Is notified of the changes in the queue, and answers the queue's queries about machines.
class TaskChangeListener {
 public:
  // Called when a change is added to the queue. From then on the machine's capacity has to account
  // for it as if it had been written.
  virtual void on_change_added(const model::TaskRef& task, const TaskChange& change) = 0;

  // Called when a change leaves the queue, because it has been written or will not be.
  virtual void on_change_removed(const model::TaskRef& task, const TaskChange& change) = 0;

  // Returns whether the cloud has announced the termination of the machine.
  virtual bool is_terminating(const std::string& machine) const = 0;

 protected:
  ~TaskChangeListener() = default;
};

}  // namespace rooksill::changes
