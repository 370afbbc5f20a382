#include "rooksill/placement/zone_limits.h"

#include <algorithm>

namespace rooksill::placement {

uint32_t ZoneLimits::remaining(const std::string& zone) const {
  if (!required_zone_.empty() && zone != required_zone_) return 0;
  auto found = tasks_by_zone_.find(zone);
  if (found == tasks_by_zone_.end()) return max_tasks_per_zone_;
  return max_tasks_per_zone_ - std::min(found->second, max_tasks_per_zone_);
}

}  // namespace rooksill::placement
