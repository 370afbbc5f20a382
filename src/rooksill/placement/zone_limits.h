// How many of a job's tasks each zone may have.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>

#include "rooksill/model/job.h"

namespace rooksill::placement {

class ZoneLimits {
 public:
  explicit ZoneLimits(const model::JobSpec& spec)
      : max_tasks_per_zone_(spec.spread ? spec.most_in_zone() : std::numeric_limits<uint32_t>::max()) {}

  // All tasks have to go to this zone.
  void restrict_to(const std::string& zone) { required_zone_ = zone; }
  bool is_restricted() const { return !required_zone_.empty(); }
  // So many more of the tasks are there, or on their way there.
  void add(const std::string& zone, uint32_t tasks = 1) { tasks_by_zone_[zone] += tasks; }
  // How many more tasks the zone may have.
  uint32_t remaining(const std::string& zone) const;

 private:
  uint32_t max_tasks_per_zone_;
  std::string required_zone_;  // empty: any
  std::map<std::string, uint32_t> tasks_by_zone_;
};

}  // namespace rooksill::placement
