#include "rooksill/quota/quota_balancer.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "rooksill/model/resources.h"
#include "rooksill/wire/names.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::quota {

namespace {

constexpr double kTransferIntervalHeartbeats = 0.5;  // minimum between two transfers of one team

// Returns the number of tasks that fit on the partition's machines but exceed its share.
double tasks_beyond_share(const PartitionFit& fit, double requested_tasks) {
  return std::min(fit.within_capacity, requested_tasks) -
         std::min(fit.within_share, requested_tasks);
}

model::QuotaShare componentwise_min(const model::QuotaShare& a, const model::QuotaShare& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus)};
}

}  // namespace

void QuotaBalancer::reset(const std::vector<wire::QuotaUse>& usage) {
  remaining_.clear();
  used_.clear();
  shortages_.clear();
  for (const auto& reported : usage)
    used_[{reported.team, reported.partition}] = {reported.cpus, reported.gpus};
}

model::QuotaShare& QuotaBalancer::remaining(const std::string& team, int partition) {
  auto [entry, is_new] = remaining_.try_emplace({team, partition});
  model::QuotaShare& remaining = entry->second;
  if (!is_new) return remaining;
  remaining = quota_share(context_.settings, replica_, team, partition);
  auto used = used_.find({team, partition});
  if (used != used_.end()) remaining = saturating_subtract(remaining, used->second);
  return remaining;
}

double QuotaBalancer::remaining_tasks(const model::JobSpec& spec, int partition) {
  const model::QuotaShare& share = remaining(spec.team, partition);
  return spec.fitting_tasks({share.cpus, share.gpus, std::numeric_limits<double>::infinity()});
}

void QuotaBalancer::deduct(const model::JobSpec& spec, int partition, double tasks) {
  model::QuotaShare& share = remaining(spec.team, partition);
  share = saturating_subtract(share, quota_of_tasks(spec, tasks));
}

// Returns the partition that could place the most tasks beyond its share. Ties go to the partition
// with the largest remaining share, so that unused quota of several partitions collects in one.
std::optional<int> QuotaBalancer::best_receiver(const std::string& team, double requested_tasks,
                                                const std::vector<PartitionFit>& fits) {
  std::optional<int> best;
  double best_tasks = 0;
  for (size_t i = 0; i < fits.size(); ++i) {
    const int partition = static_cast<int>(i);
    const double tasks = tasks_beyond_share(fits[i], requested_tasks);
    if (tasks < 1) continue;
    const bool is_better =
        !best || tasks > best_tasks ||
        (tasks == best_tasks && remaining(team, partition).cpus > remaining(team, *best).cpus);
    if (!is_better) continue;
    best = partition;
    best_tasks = tasks;
  }
  return best;
}

void QuotaBalancer::record_shortage(const model::JobSpec& spec, double requested_tasks,
                                    const std::vector<PartitionFit>& fits) {
  if (shortages_.count(spec.team) != 0) return;
  const std::optional<int> receiver = best_receiver(spec.team, requested_tasks, fits);
  if (!receiver) return;
  Shortage shortage;
  shortage.receiver = *receiver;
  for (size_t i = 0; i < fits.size(); ++i) {
    const double usable_tasks = std::min(fits[i].within_share, requested_tasks);
    shortage.spare.push_back(saturating_subtract(remaining(spec.team, static_cast<int>(i)),
                                                 quota_of_tasks(spec, usable_tasks)));
  }
  const auto receiver_index = static_cast<size_t>(*receiver);
  const double extra_tasks = tasks_beyond_share(fits[receiver_index], requested_tasks);
  shortage.missing =
      saturating_subtract(quota_of_tasks(spec, extra_tasks), shortage.spare[receiver_index]);
  shortages_.emplace(spec.team, std::move(shortage));
}

std::vector<wire::QuotaTransfer> QuotaBalancer::decide_transfers(
    const std::vector<bool>& can_be_source) {
  std::vector<wire::QuotaTransfer> transfers;
  for (const auto& [team, shortage] : std::exchange(shortages_, {})) {
    double& next_transfer_at_s = next_transfer_at_s_[team];
    if (context_.now.steady < next_transfer_at_s || !wire::is_valid_team_name(team)) continue;
    auto transfer = choose_transfer(team, shortage, can_be_source);
    if (!transfer) continue;
    next_transfer_at_s =
        context_.now.steady + kTransferIntervalHeartbeats * context_.settings.platform.report_s;
    transfers.push_back(std::move(*transfer));
  }
  return transfers;
}

// Chooses as source the partition that can cover most of what is missing; nullopt if there is none.
std::optional<wire::QuotaTransfer> QuotaBalancer::choose_transfer(
    const std::string& team, const Shortage& shortage, const std::vector<bool>& can_be_source) {
  std::optional<size_t> source;
  model::QuotaShare amount;
  for (size_t i = 0; i < shortage.spare.size(); ++i) {
    const model::QuotaShare available = componentwise_min(shortage.spare[i], shortage.missing);
    const double available_total = available.cpus + available.gpus;
    const bool is_eligible = static_cast<int>(i) != shortage.receiver && can_be_source[i];
    if (!is_eligible || available_total <= model::Resources::kRoundingError) continue;
    if (source && available_total <= amount.cpus + amount.gpus) continue;
    source = i;
    amount = available;
  }
  if (!source) return std::nullopt;
  return wire::QuotaTransfer{
      team,        static_cast<int>(*source),        shortage.receiver, amount.cpus,
      amount.gpus, division_revision(replica_, team)};
}

}  // namespace rooksill::quota
