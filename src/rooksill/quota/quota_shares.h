// Division of each team's quota among the partitions.
#pragma once

#include <compare>
#include <optional>
#include <string>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/settings/settings.h"
#include "rooksill/store/replica.h"

namespace rooksill::quota {

// Identifies one partition's share of one team's quota.
struct TeamPartition {
  std::string team;
  int partition = 0;
  auto operator<=>(const TeamPartition&) const = default;
};

// Returns what a partition may use of a team's quota: the share in the store's division record if
// there is one, otherwise an equal share. A quota that is smaller than two of the largest machines
// per partition is initially assigned to a single partition as a whole. 0 in the settings means
// unlimited, which is returned as infinity. The share of a team that is not in the settings is
// zero.
model::QuotaShare quota_share(const Settings& settings, const store::Replica& replica,
                              const std::string& team, int partition);

// Returns the partition that holds all or most of a CPU quota that is too small to be divided
// evenly; nullopt if the quota is large enough to be divided, or unlimited.
std::optional<int> undivided_quota_partition(const Settings& settings,
                                             const store::Replica& replica,
                                             const std::string& team);

// Returns the revision of the store's record of the team's quota division; kNoRevision before the
// first transfer.
model::Revision division_revision(const store::Replica& replica, const std::string& team);

// Returns the quota that `tasks` tasks of the job use.
model::QuotaShare quota_of_tasks(const model::JobSpec& spec, double tasks);
// Returns the share minus the amount, with each component at least 0.
model::QuotaShare saturating_subtract(const model::QuotaShare& share,
                                      const model::QuotaShare& amount);

}  // namespace rooksill::quota
