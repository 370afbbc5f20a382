#include "rooksill/placement/grants.h"

#include <algorithm>
#include <limits>

namespace rooksill::placement {

namespace {
constexpr double kDealtReports = 2;  // that a chunk waits with one block while nobody routes
}  // namespace

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

int dealt_block(const Settings& settings, const std::map<std::string, core::MachineType>& types,
                const core::Job& job, uint32_t chunk, int blocks, double wall) {
  const double turn_s = kDealtReports * settings.platform.report_s;
  // One block at a time decides for a job whose tasks depend on each other's places.
  const bool whole = job.spec.one_zone || job.spec.spread || job.spec.shape == core::Shape::kGang;
  uint64_t sum = whole ? 0 : chunk;
  for (unsigned char c : job.spec.id) sum = sum * 31 + c;
  sum += static_cast<uint64_t>(std::max(0.0, wall - job.submitted) / turn_s);
  for (int i = 0; i < blocks; ++i, ++sum) {
    const int block = static_cast<int>(sum % static_cast<uint64_t>(blocks));
    if (granted_cpus(settings, types, job.spec.team, block, blocks) >= job.spec.cpus) return block;
  }
  return 0;
}

}  // namespace rooksill::placement
