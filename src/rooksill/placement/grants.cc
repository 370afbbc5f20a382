#include "rooksill/placement/grants.h"

#include <algorithm>
#include <limits>

namespace rooksill::placement {

double granted(double limit, double whole_below, const std::string& team, int block, int blocks) {
  if (limit <= 0) return std::numeric_limits<double>::infinity();
  if (limit >= whole_below * blocks) return limit / blocks;
  uint32_t sum = 0;
  for (unsigned char c : team) sum = sum * 31 + c;
  return static_cast<int>(sum % static_cast<uint32_t>(blocks)) == block ? limit : 0;
}

double granted_cpus(const Settings& settings, const std::map<std::string, core::MachineType>& types,
                    const std::string& team, int block, int blocks) {
  auto limits = settings.platform.teams.find(team);
  if (limits == settings.platform.teams.end()) return 0;
  double biggest = 0;
  for (const auto& [name, t] : types) biggest = std::max(biggest, t.cpus);
  return granted(limits->second.cpus_max, 2 * biggest, team, block, blocks);
}

}  // namespace rooksill::placement
