#include "rooksill/placement/zone_limits.h"

#include <algorithm>

namespace rooksill::placement {

uint32_t ZoneLimits::left(const std::string& zone) const {
  if (!only_zone_.empty() && zone != only_zone_) return 0;
  auto there = in_zone_.find(zone);
  if (there == in_zone_.end()) return most_in_zone_;
  return most_in_zone_ - std::min(there->second, most_in_zone_);
}

}  // namespace rooksill::placement
