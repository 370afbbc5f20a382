#include "rooksill/quota/quota_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/quota/quota_shares.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::quota {

namespace {
constexpr double kPauseReports = 0.5;  // between two transfers of one team's limit
constexpr double kSlack = 1e-9;        // sums of fractions
}  // namespace

void QuotaBalancer::refresh(const std::vector<wire::QuotaUse>& used) {
  left_.clear();
  used_.clear();
  shortages_.clear();
  for (const auto& u : used) used_[{u.team, u.partition}] = {u.cpus, u.gpus};
}

model::QuotaShare QuotaBalancer::left(const std::string& team, int partition) {
  auto [it, fresh] = left_.try_emplace({team, partition});
  if (!fresh) return it->second;
  it->second = quota_share(ctx_.settings, replica_, team, partition);
  auto used = used_.find({team, partition});
  if (used == used_.end()) return it->second;
  it->second.cpus = std::max(0.0, it->second.cpus - used->second.cpus);
  it->second.gpus = std::max(0.0, it->second.gpus - used->second.gpus);
  return it->second;
}

double QuotaBalancer::tasks_left(const model::JobSpec& spec, int partition) {
  const model::QuotaShare there = left(spec.team, partition);
  return spec.tasks_in({there.cpus, there.gpus, std::numeric_limits<double>::infinity()});
}

void QuotaBalancer::take(const model::JobSpec& spec, int partition, double tasks) {
  left(spec.team, partition);
  model::QuotaShare& there = left_[{spec.team, partition}];
  there.cpus = std::max(0.0, there.cpus - tasks * spec.request.cpus);
  there.gpus = std::max(0.0, there.gpus - tasks * spec.request.gpus);
}

void QuotaBalancer::note(const model::JobSpec& spec, double wanted,
                         const std::vector<PartitionFit>& fits) {
  if (shortages_.count(spec.team) != 0) return;
  const int partitions = static_cast<int>(fits.size());
  auto unmet = [&](int b) {
    const PartitionFit& fit = fits[static_cast<size_t>(b)];
    return std::min(fit.room, wanted) - std::min(fit.within_share, wanted);
  };
  // The partition that could do most for this work; among equals that with most left already, so
  // that what several others have left comes together.
  int to = -1;
  for (int b = 0; b < partitions; ++b) {
    if (unmet(b) < 1) continue;
    if (to < 0 || unmet(b) > unmet(to) ||
        (unmet(b) == unmet(to) && left(spec.team, b).cpus > left(spec.team, to).cpus))
      to = b;
  }
  if (to < 0) return;
  auto beyond = [&](int b, double tasks) {
    const model::QuotaShare there = left(spec.team, b);
    return model::QuotaShare{std::max(0.0, there.cpus - tasks * spec.request.cpus),
                             std::max(0.0, there.gpus - tasks * spec.request.gpus)};
  };
  Shortage s;
  s.to = to;
  for (int b = 0; b < partitions; ++b)
    s.spare.push_back(beyond(b, std::min(fits[static_cast<size_t>(b)].within_share, wanted)));
  const model::QuotaShare has = s.spare[static_cast<size_t>(to)];
  s.missing = {std::max(0.0, unmet(to) * spec.request.cpus - has.cpus),
               std::max(0.0, unmet(to) * spec.request.gpus - has.gpus)};
  shortages_.emplace(spec.team, std::move(s));
}

std::vector<wire::QuotaTransfer> QuotaBalancer::decide(const std::vector<bool>& can_give) {
  std::vector<wire::QuotaTransfer> out;
  for (const auto& [team, shortage] : std::exchange(shortages_, {})) {
    const Shortage& s = shortage;
    double& next = next_[team];
    if (ctx_.now.steady < next || !wire::valid_quota_key(team)) continue;
    auto worth = [&](int b) {
      const model::QuotaShare& spare = s.spare[static_cast<size_t>(b)];
      return std::min(spare.cpus, s.missing.cpus) + std::min(spare.gpus, s.missing.gpus);
    };
    int from = -1;
    for (int b = 0; b < static_cast<int>(s.spare.size()); ++b) {
      if (b == s.to || !can_give[static_cast<size_t>(b)] || worth(b) <= kSlack) continue;
      if (from < 0 || worth(b) > worth(from)) from = b;
    }
    if (from < 0) continue;
    next = ctx_.now.steady + kPauseReports * ctx_.settings.platform.report_s;
    const model::QuotaShare& spare = s.spare[static_cast<size_t>(from)];
    auto division = replica_.quota_divisions.find(team);
    const model::Revision revision =
        division == replica_.quota_divisions.end() ? model::kNoRevision : division->second.revision;
    out.push_back({team, from, s.to, std::min(spare.cpus, s.missing.cpus),
                   std::min(spare.gpus, s.missing.gpus), revision});
  }
  return out;
}

}  // namespace rooksill::quota
