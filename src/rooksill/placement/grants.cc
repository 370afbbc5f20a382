#include "rooksill/placement/grants.h"

#include <limits>

namespace rooksill::placement {

double granted(double limit, double whole_below, const std::string& team, int block, int blocks) {
  if (limit <= 0) return std::numeric_limits<double>::infinity();
  if (limit >= whole_below * blocks) return limit / blocks;
  uint32_t sum = 0;
  for (unsigned char c : team) sum = sum * 31 + c;
  return static_cast<int>(sum % static_cast<uint32_t>(blocks)) == block ? limit : 0;
}

}  // namespace rooksill::placement
