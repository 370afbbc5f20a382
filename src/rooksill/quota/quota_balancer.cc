#include "rooksill/quota/quota_balancer.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "rooksill/model/resources.h"
#include "rooksill/wire/names.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::quota {

namespace {

constexpr double kPauseReports = 0.5;  // between two transfers of one team's quota

// Tasks that have room in a partition and are beyond its share.
double tasks_beyond_share(const PartitionFit& fit, double wanted) {
  return std::min(fit.room, wanted) - std::min(fit.within_share, wanted);
}

model::QuotaShare smaller(const model::QuotaShare& a, const model::QuotaShare& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus)};
}

}  // namespace

void QuotaBalancer::refresh(const std::vector<wire::QuotaUse>& use) {
  left_.clear();
  used_.clear();
  shortages_.clear();
  for (const auto& reported : use)
    used_[{reported.team, reported.partition}] = {reported.cpus, reported.gpus};
}

model::QuotaShare& QuotaBalancer::left(const std::string& team, int partition) {
  auto [known, is_new] = left_.try_emplace({team, partition});
  model::QuotaShare& left = known->second;
  if (!is_new) return left;
  left = quota_share(context_.settings, replica_, team, partition);
  auto used = used_.find({team, partition});
  if (used != used_.end()) left = without(left, used->second);
  return left;
}

double QuotaBalancer::tasks_left(const model::JobSpec& spec, int partition) {
  const model::QuotaShare& share = left(spec.team, partition);
  return spec.tasks_in({share.cpus, share.gpus, std::numeric_limits<double>::infinity()});
}

void QuotaBalancer::deduct(const model::JobSpec& spec, int partition, double tasks) {
  model::QuotaShare& share = left(spec.team, partition);
  share = without(share, quota_of_tasks(spec, tasks));
}

// The partition that could do most for this work; among equals the one with most left already, so
// that what several others have left comes together.
std::optional<int> QuotaBalancer::best_receiver(const std::string& team, double wanted,
                                                const std::vector<PartitionFit>& fits) {
  std::optional<int> best;
  double most = 0;
  for (size_t i = 0; i < fits.size(); ++i) {
    const int partition = static_cast<int>(i);
    const double tasks = tasks_beyond_share(fits[i], wanted);
    if (tasks < 1) continue;
    const bool better = !best || tasks > most ||
                        (tasks == most && left(team, partition).cpus > left(team, *best).cpus);
    if (!better) continue;
    best = partition;
    most = tasks;
  }
  return best;
}

void QuotaBalancer::note_shortage(const model::JobSpec& spec, double wanted,
                                  const std::vector<PartitionFit>& fits) {
  if (shortages_.count(spec.team) != 0) return;
  const std::optional<int> to = best_receiver(spec.team, wanted, fits);
  if (!to) return;
  Shortage shortage;
  shortage.to = *to;
  for (size_t i = 0; i < fits.size(); ++i) {
    const double useful = std::min(fits[i].within_share, wanted);
    shortage.spare.push_back(
        without(left(spec.team, static_cast<int>(i)), quota_of_tasks(spec, useful)));
  }
  const auto receiver = static_cast<size_t>(*to);
  const double tasks = tasks_beyond_share(fits[receiver], wanted);
  shortage.missing = without(quota_of_tasks(spec, tasks), shortage.spare[receiver]);
  shortages_.emplace(spec.team, std::move(shortage));
}

std::vector<wire::QuotaTransfer> QuotaBalancer::decide_transfers(
    const std::vector<bool>& can_give) {
  std::vector<wire::QuotaTransfer> transfers;
  for (const auto& [team, shortage] : std::exchange(shortages_, {})) {
    double& next = next_transfer_[team];
    if (context_.now.steady < next || !wire::is_valid_team_name(team)) continue;
    auto transfer = transfer_for(team, shortage, can_give);
    if (!transfer) continue;
    next = context_.now.steady + kPauseReports * context_.settings.platform.report_s;
    transfers.push_back(std::move(*transfer));
  }
  return transfers;
}

// From the partition that can give most of what is missing; nothing if none can.
std::optional<wire::QuotaTransfer> QuotaBalancer::transfer_for(const std::string& team,
                                                               const Shortage& shortage,
                                                               const std::vector<bool>& can_give) {
  std::optional<size_t> from;
  model::QuotaShare amount;
  for (size_t i = 0; i < shortage.spare.size(); ++i) {
    const model::QuotaShare given = smaller(shortage.spare[i], shortage.missing);
    const double worth = given.cpus + given.gpus;
    const bool possible = static_cast<int>(i) != shortage.to && can_give[i];
    if (!possible || worth <= model::Resources::kRoundingError) continue;
    if (from && worth <= amount.cpus + amount.gpus) continue;
    from = i;
    amount = given;
  }
  if (!from) return std::nullopt;
  return wire::QuotaTransfer{team,        static_cast<int>(*from),
                             shortage.to, amount.cpus,
                             amount.gpus, division_revision(replica_, team)};
}

}  // namespace rooksill::quota
