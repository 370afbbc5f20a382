// Limits on the number of a job's tasks in each zone.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>

#include "rooksill/model/job.h"

namespace rooksill::placement {

// Tracks how many more tasks of a job each zone may get: the tasks of a `spread` job are limited by
// zone, and those of a `one_zone` job have to be in the same zone.
class ZoneLimits {
 public:
  // Applies the limit of the job, if its tasks are to be spread over zones.
  explicit ZoneLimits(const model::JobSpec& spec)
      : max_tasks_per_zone_(spec.spread ? spec.max_tasks_in_zone()
                                        : std::numeric_limits<uint32_t>::max()) {}

  // Requires all tasks to be in this zone.
  void restrict_to(const std::string& zone) { required_zone_ = zone; }
  // Returns whether all tasks have to be in one zone that is already determined.
  bool is_restricted() const { return !required_zone_.empty(); }
  // Counts tasks of the job that are placed, or about to be placed, in the zone.
  void add(const std::string& zone, uint32_t tasks = 1) { tasks_by_zone_[zone] += tasks; }
  // Returns how many more tasks may be placed in the zone.
  uint32_t remaining(const std::string& zone) const;

 private:
  uint32_t max_tasks_per_zone_;
  std::string required_zone_;  // empty: any zone
  std::map<std::string, uint32_t> tasks_by_zone_;
};

}  // namespace rooksill::placement
