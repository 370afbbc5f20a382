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
      : most_in_zone_(spec.spread ? spec.max_tasks_in_zone() : std::numeric_limits<uint32_t>::max()) {}

  // All tasks have to go to this zone.
  void restrict_to(const std::string& zone) { only_zone_ = zone; }
  bool restricted() const { return !only_zone_.empty(); }
  // So many more of the tasks are there, or on their way there.
  void add(const std::string& zone, uint32_t tasks = 1) { in_zone_[zone] += tasks; }
  // How many more tasks the zone may have.
  uint32_t left(const std::string& zone) const;

 private:
  uint32_t most_in_zone_;
  std::string only_zone_;  // empty: any
  std::map<std::string, uint32_t> in_zone_;
};

}  // namespace rooksill::placement
