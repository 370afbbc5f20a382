#include "rooksill/quota/quota_shares.h"

#include <algorithm>
#include <cstdint>
#include <limits>

#include "rooksill/model/identifiers.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/resources.h"

namespace rooksill::quota {

namespace {

// A quota is small if it covers fewer than so many of the largest machines per partition.
constexpr double kSmallQuotaMachinesPerPartition = 2;

double largest_machine_size(const store::Replica& replica, double model::Resources::*amount) {
  double largest = 0;
  for (const auto& [name, type] : replica.types) largest = std::max(largest, type.capacity.*amount);
  return largest;
}

bool is_small(double quota, double machine_size, int partitions) {
  return quota < kSmallQuotaMachinesPerPartition * machine_size * partitions;
}

// Returns the partition that initially holds a team's small quota. Hashing spreads the teams over
// the partitions.
int home_partition(const std::string& team, int partitions) {
  uint32_t hash = 0;
  for (unsigned char c : team) hash = hash * 31 + c;
  return static_cast<int>(hash % static_cast<uint32_t>(partitions));
}

// Returns a partition's share before the first transfer. `machine_size` is the largest machine's.
double initial_share(double quota, double machine_size, const TeamPartition& share_key,
                     int partitions) {
  if (!is_small(quota, machine_size, partitions)) return quota / partitions;
  return home_partition(share_key.team, partitions) == share_key.partition ? quota : 0;
}

}  // namespace

model::QuotaShare quota_share(const Settings& settings, const store::Replica& replica,
                              const std::string& team, int partition) {
  constexpr double kUnlimited = std::numeric_limits<double>::infinity();
  auto found = settings.platform.teams.find(team);
  if (found == settings.platform.teams.end()) return {0, 0};
  const TeamQuota& quota = found->second;
  const int partitions = static_cast<int>(replica.leases.size());
  model::QuotaShare share;
  auto division = replica.quota_divisions.find(team);
  if (division != replica.quota_divisions.end() &&
      division->second.revision != model::kNoRevision) {
    share = division->second.shares[static_cast<size_t>(partition)];
  } else {
    const TeamPartition share_key{team, partition};
    const double largest_cpus = largest_machine_size(replica, &model::Resources::cpus);
    const double largest_gpus = largest_machine_size(replica, &model::Resources::gpus);
    share.cpus = initial_share(quota.max_cpus, largest_cpus, share_key, partitions);
    share.gpus = initial_share(quota.max_gpus, largest_gpus, share_key, partitions);
  }
  if (quota.max_cpus <= 0) share.cpus = kUnlimited;
  if (quota.max_gpus <= 0) share.gpus = kUnlimited;
  return share;
}

std::optional<int> undivided_quota_partition(const Settings& settings,
                                             const store::Replica& replica,
                                             const std::string& team) {
  auto quota = settings.platform.teams.find(team);
  if (quota == settings.platform.teams.end() || quota->second.max_cpus <= 0) return std::nullopt;
  const int partitions = static_cast<int>(replica.leases.size());
  const double largest_cpus = largest_machine_size(replica, &model::Resources::cpus);
  if (!is_small(quota->second.max_cpus, largest_cpus, partitions)) return std::nullopt;
  int holder = 0;
  for (int partition = 1; partition < partitions; ++partition)
    if (quota_share(settings, replica, team, partition).cpus >
        quota_share(settings, replica, team, holder).cpus)
      holder = partition;
  return holder;
}

model::Revision division_revision(const store::Replica& replica, const std::string& team) {
  auto division = replica.quota_divisions.find(team);
  return division == replica.quota_divisions.end() ? model::kNoRevision : division->second.revision;
}

model::QuotaShare quota_of_tasks(const model::JobSpec& spec, double tasks) {
  return {tasks * spec.request.cpus, tasks * spec.request.gpus};
}

model::QuotaShare saturating_subtract(const model::QuotaShare& share,
                                      const model::QuotaShare& amount) {
  return {std::max(0.0, share.cpus - amount.cpus), std::max(0.0, share.gpus - amount.gpus)};
}

}  // namespace rooksill::quota
