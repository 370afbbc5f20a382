#include "rooksill/quota/quota_shares.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/resources.h"

namespace rooksill::quota {

namespace {

constexpr double kFallbackReports = 2;  // that a shard waits with one partition while nobody routes
constexpr double kSmallLimit =
    2;  // largest machines for each partition below which a limit is small

double largest(const store::Replica& replica, double model::Resources::*amount) {
  double out = 0;
  for (const auto& [name, type] : replica.types) out = std::max(out, type.capacity.*amount);
  return out;
}

bool is_small(double limit, double largest_machine, int partitions) {
  return limit < kSmallLimit * largest_machine * partitions;
}

int home_of(const std::string& team, int partitions) {
  uint32_t sum = 0;
  for (unsigned char c : team) sum = sum * 31 + c;
  return static_cast<int>(sum % static_cast<uint32_t>(partitions));
}

double first_share(double limit, double largest_machine, const std::string& team, int partition,
                   int partitions) {
  if (!is_small(limit, largest_machine, partitions)) return limit / partitions;
  return home_of(team, partitions) == partition ? limit : 0;
}

}  // namespace

model::QuotaShare quota_share(const Settings& settings, const store::Replica& replica,
                              const std::string& team, int partition) {
  constexpr double kNoLimit = std::numeric_limits<double>::infinity();
  auto found = settings.platform.teams.find(team);
  if (found == settings.platform.teams.end()) return {0, 0};
  const TeamQuota& limits = found->second;
  const int partitions = static_cast<int>(replica.leases.size());
  model::QuotaShare out;
  auto recorded = replica.quota_divisions.find(team);
  if (recorded != replica.quota_divisions.end() &&
      recorded->second.revision != model::kNoRevision) {
    out = recorded->second.shares[static_cast<size_t>(partition)];
  } else {
    out.cpus = first_share(limits.cpus_max, largest(replica, &model::Resources::cpus), team,
                           partition, partitions);
    out.gpus = first_share(limits.gpus_max, largest(replica, &model::Resources::gpus), team,
                           partition, partitions);
  }
  if (limits.cpus_max <= 0) out.cpus = kNoLimit;
  if (limits.gpus_max <= 0) out.gpus = kNoLimit;
  return out;
}

int sole_partition(const Settings& settings, const store::Replica& replica,
                   const std::string& team) {
  auto limits = settings.platform.teams.find(team);
  if (limits == settings.platform.teams.end() || limits->second.cpus_max <= 0) return -1;
  const int partitions = static_cast<int>(replica.leases.size());
  const double machine = largest(replica, &model::Resources::cpus);
  if (!is_small(limits->second.cpus_max, machine, partitions)) return -1;
  int home = 0;
  for (int b = 1; b < partitions; ++b)
    if (quota_share(settings, replica, team, b).cpus >
        quota_share(settings, replica, team, home).cpus)
      home = b;
  return home;
}

int fallback_partition(const Settings& settings, const store::Replica& replica,
                       const model::Job& job, uint32_t shard, double wall) {
  const double turn_s = kFallbackReports * settings.platform.report_s;
  const int partitions = static_cast<int>(replica.leases.size());
  // One partition at a time decides for a job whose tasks depend on each other's places.
  const bool whole = job.spec.one_zone || job.spec.spread || job.spec.shape == model::Shape::kGang;
  uint64_t sum = whole ? 0 : shard;
  for (unsigned char c : job.spec.id) sum = sum * 31 + c;
  sum += static_cast<uint64_t>(std::max(0.0, wall - job.submitted) / turn_s);
  for (int i = 0; i < partitions; ++i, ++sum) {
    const int partition = static_cast<int>(sum % static_cast<uint64_t>(partitions));
    if (quota_share(settings, replica, job.spec.team, partition).cpus >= job.spec.request.cpus)
      return partition;
  }
  return 0;
}

}  // namespace rooksill::quota
