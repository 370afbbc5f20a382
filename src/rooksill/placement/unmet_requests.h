// Requests for which no machine had capacity in the current placement pass.
#pragma once

#include <compare>
#include <map>

#include "rooksill/model/job.h"
#include "rooksill/model/resources.h"

namespace rooksill::placement {

// Records the requests that found no machine in this pass, so that the search can be skipped for
// requests of the same class that are at least as large. With a long queue, nearly all shards are
// skipped this way.
class UnmetRequests {
 public:
  // Returns whether the search can be skipped for the job: a request of the same class that is no
  // larger in any resource found no machine.
  bool covers(const model::JobSpec& spec) const;
  // Records that the job's request found no machine. Ignores jobs with placement constraints, which
  // say nothing about the machines that they exclude.
  void add(const model::JobSpec& spec);
  // Removes all requests.
  void clear() { smallest_by_class_.clear(); }

 private:
  // Jobs with the same headroom, allowed machines and preemptible tasks.
  struct RequestClass {
    bool can_use_spot = false;
    bool has_checkpoints = false;
    model::Priority priority = model::Priority::kStandard;
    auto operator<=>(const RequestClass&) const = default;
  };
  static RequestClass class_of(const model::JobSpec& spec);

  std::map<RequestClass, model::Resources> smallest_by_class_;
};

}  // namespace rooksill::placement
