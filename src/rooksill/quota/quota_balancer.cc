#include "rooksill/core/limit_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "rooksill/core/codec.h"
#include "rooksill/placement/limit_shares.h"

namespace rooksill::core {

namespace {
constexpr double kPauseReports = 0.5;  // between two transfers of one team's limit
constexpr double kSlack = 1e-9;        // sums of fractions
}  // namespace

void LimitBalancer::refresh(const std::vector<net::TeamUse>& used) {
  left_.clear();
  used_.clear();
  shortages_.clear();
  for (const auto& u : used) used_[{u.team, u.block}] = {u.cpus, u.gpus};
}

LimitShare LimitBalancer::left(const std::string& team, int block) {
  auto [it, fresh] = left_.try_emplace({team, block});
  if (!fresh) return it->second;
  it->second = placement::limit_share(ctx_.settings, replica_, team, block);
  auto used = used_.find({team, block});
  if (used == used_.end()) return it->second;
  it->second.cpus = std::max(0.0, it->second.cpus - used->second.cpus);
  it->second.gpus = std::max(0.0, it->second.gpus - used->second.gpus);
  return it->second;
}

double LimitBalancer::tasks_left(const JobSpec& spec, int block) {
  const LimitShare there = left(spec.team, block);
  return spec.tasks_in(there.cpus, there.gpus, std::numeric_limits<double>::infinity());
}

void LimitBalancer::take(const JobSpec& spec, int block, double tasks) {
  left(spec.team, block);
  LimitShare& there = left_[{spec.team, block}];
  there.cpus = std::max(0.0, there.cpus - tasks * spec.cpus);
  there.gpus = std::max(0.0, there.gpus - tasks * spec.gpus);
}

void LimitBalancer::note(const JobSpec& spec, double wanted, const std::vector<BlockFit>& fits) {
  if (shortages_.count(spec.team) != 0) return;
  const int blocks = static_cast<int>(fits.size());
  auto unmet = [&](int b) {
    const BlockFit& fit = fits[static_cast<size_t>(b)];
    return std::min(fit.room, wanted) - std::min(fit.within_share, wanted);
  };
  // The block that could do most for this work; among equals that with most left already, so that
  // what several others have left comes together.
  int to = -1;
  for (int b = 0; b < blocks; ++b) {
    if (unmet(b) < 1) continue;
    if (to < 0 || unmet(b) > unmet(to) ||
        (unmet(b) == unmet(to) && left(spec.team, b).cpus > left(spec.team, to).cpus))
      to = b;
  }
  if (to < 0) return;
  auto beyond = [&](int b, double tasks) {
    const LimitShare there = left(spec.team, b);
    return LimitShare{std::max(0.0, there.cpus - tasks * spec.cpus),
                      std::max(0.0, there.gpus - tasks * spec.gpus)};
  };
  Shortage s;
  s.to = to;
  for (int b = 0; b < blocks; ++b)
    s.spare.push_back(beyond(b, std::min(fits[static_cast<size_t>(b)].within_share, wanted)));
  const LimitShare has = s.spare[static_cast<size_t>(to)];
  s.missing = {std::max(0.0, unmet(to) * spec.cpus - has.cpus),
               std::max(0.0, unmet(to) * spec.gpus - has.gpus)};
  shortages_.emplace(spec.team, std::move(s));
}

std::vector<net::LimitTransfer> LimitBalancer::decide(const std::vector<bool>& can_give) {
  std::vector<net::LimitTransfer> out;
  for (const auto& [team, shortage] : std::exchange(shortages_, {})) {
    const Shortage& s = shortage;
    double& next = next_[team];
    if (ctx_.now.steady < next || !valid_limit_key(team)) continue;
    auto worth = [&](int b) {
      const LimitShare& spare = s.spare[static_cast<size_t>(b)];
      return std::min(spare.cpus, s.missing.cpus) + std::min(spare.gpus, s.missing.gpus);
    };
    int from = -1;
    for (int b = 0; b < static_cast<int>(s.spare.size()); ++b) {
      if (b == s.to || !can_give[static_cast<size_t>(b)] || worth(b) <= kSlack) continue;
      if (from < 0 || worth(b) > worth(from)) from = b;
    }
    if (from < 0) continue;
    next = ctx_.now.steady + kPauseReports * ctx_.settings.platform.report_s;
    const LimitShare& spare = s.spare[static_cast<size_t>(from)];
    auto division = replica_.divisions.find(team);
    const uint64_t stamp = division == replica_.divisions.end() ? 0 : division->second.stamp;
    out.push_back({team, from, s.to, std::min(spare.cpus, s.missing.cpus),
                   std::min(spare.gpus, s.missing.gpus), stamp});
  }
  return out;
}

}  // namespace rooksill::core
