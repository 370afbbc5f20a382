// How each team's quota is divided among the partitions.
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

// Names one share of one team's quota.
struct TeamPartition {
  std::string team;
  int partition = 0;
  auto operator<=>(const TeamPartition&) const = default;
};

// What a partition may use of a team's quota: by the store's record if there is one, else an even
// share. A quota too small for every partition to run two of the largest machine's tasks lies with
// one partition at first. In the settings 0 means no limit; here a quota that is not limited is
// infinite. A team that the settings do not know has none.
model::QuotaShare quota_share(const Settings& settings, const store::Replica& replica,
                              const std::string& team, int partition);

// The partition with all or most of a quota of CPUs that is too small to be divided evenly; nothing
// if the quota is divided or not limited.
std::optional<int> undivided_quota_partition(const Settings& settings,
                                             const store::Replica& replica,
                                             const std::string& team);

// Of the store's record of a team's division; kNoRevision before the first transfer.
model::Revision division_revision(const store::Replica& replica, const std::string& team);

// What so many of a job's tasks take of a quota.
model::QuotaShare quota_of_tasks(const model::JobSpec& spec, double tasks);
// What is left of a share without that amount; never below 0.
model::QuotaShare saturating_subtract(const model::QuotaShare& share,
                                      const model::QuotaShare& amount);

}  // namespace rooksill::quota
