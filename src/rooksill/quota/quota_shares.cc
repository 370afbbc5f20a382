#include "rooksill/placement/limit_shares.h"

#include <algorithm>
#include <limits>

namespace rooksill::placement {

namespace {

constexpr double kDealtReports = 2;  // that a chunk waits with one block while nobody routes
constexpr double kSmallLimit = 2;    // largest machines for each block below which a limit is small

double largest(const core::Replica& replica, double core::MachineType::*amount) {
  double out = 0;
  for (const auto& [name, type] : replica.types) out = std::max(out, type.*amount);
  return out;
}

bool is_small(double limit, double largest_machine, int blocks) {
  return limit < kSmallLimit * largest_machine * blocks;
}

int home_of(const std::string& team, int blocks) {
  uint32_t sum = 0;
  for (unsigned char c : team) sum = sum * 31 + c;
  return static_cast<int>(sum % static_cast<uint32_t>(blocks));
}

double first_share(double limit, double largest_machine, const std::string& team, int block,
                   int blocks) {
  if (!is_small(limit, largest_machine, blocks)) return limit / blocks;
  return home_of(team, blocks) == block ? limit : 0;
}

}  // namespace

core::LimitShare limit_share(const Settings& settings, const core::Replica& replica,
                             const std::string& team, int block) {
  constexpr double kNoLimit = std::numeric_limits<double>::infinity();
  auto found = settings.platform.teams.find(team);
  if (found == settings.platform.teams.end()) return {0, 0};
  const TeamLimits& limits = found->second;
  const int blocks = static_cast<int>(replica.leases.size());
  core::LimitShare out;
  auto recorded = replica.divisions.find(team);
  if (recorded != replica.divisions.end() && recorded->second.stamp != 0) {
    out = recorded->second.shares[static_cast<size_t>(block)];
  } else {
    out.cpus = first_share(limits.cpus_max, largest(replica, &core::MachineType::cpus), team, block,
                           blocks);
    out.gpus = first_share(limits.gpus_max, largest(replica, &core::MachineType::gpus), team, block,
                           blocks);
  }
  if (limits.cpus_max <= 0) out.cpus = kNoLimit;
  if (limits.gpus_max <= 0) out.gpus = kNoLimit;
  return out;
}

int only_home(const Settings& settings, const core::Replica& replica, const std::string& team) {
  auto limits = settings.platform.teams.find(team);
  if (limits == settings.platform.teams.end() || limits->second.cpus_max <= 0) return -1;
  const int blocks = static_cast<int>(replica.leases.size());
  const double machine = largest(replica, &core::MachineType::cpus);
  if (!is_small(limits->second.cpus_max, machine, blocks)) return -1;
  int home = 0;
  for (int b = 1; b < blocks; ++b)
    if (limit_share(settings, replica, team, b).cpus >
        limit_share(settings, replica, team, home).cpus)
      home = b;
  return home;
}

int dealt_block(const Settings& settings, const core::Replica& replica, const core::Job& job,
                uint32_t chunk, double wall) {
  const double turn_s = kDealtReports * settings.platform.report_s;
  const int blocks = static_cast<int>(replica.leases.size());
  // One block at a time decides for a job whose tasks depend on each other's places.
  const bool whole = job.spec.one_zone || job.spec.spread || job.spec.shape == core::Shape::kGang;
  uint64_t sum = whole ? 0 : chunk;
  for (unsigned char c : job.spec.id) sum = sum * 31 + c;
  sum += static_cast<uint64_t>(std::max(0.0, wall - job.submitted) / turn_s);
  for (int i = 0; i < blocks; ++i, ++sum) {
    const int block = static_cast<int>(sum % static_cast<uint64_t>(blocks));
    if (limit_share(settings, replica, job.spec.team, block).cpus >= job.spec.cpus) return block;
  }
  return 0;
}

}  // namespace rooksill::placement
