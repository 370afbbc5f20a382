#include "rooksill/partition/quota_usage.h"

#include <limits>

#include "rooksill/quota/quota_shares.h"

namespace rooksill::partition {

namespace {
constexpr double kRoundingError = model::Resources::kRoundingError;
}  // namespace

void QuotaUsage::add(const placement::MachineCapacity& machine) {
  for (const auto& [team, use] : machine.usage_by_team) used_[{machine.partition, team}] += use;
}

void QuotaUsage::subtract(const placement::MachineCapacity& machine) {
  for (const auto& [team, use] : machine.usage_by_team) used_[{machine.partition, team}] -= use;
}

const model::QuotaShare& QuotaUsage::share(const std::string& team, int partition) {
  auto [entry, is_new] = shares_.try_emplace({partition, team});
  model::QuotaShare& share = entry->second;
  if (!is_new) return share;
  share = quota::quota_share(settings_, replica_, team, partition);
  const model::QuotaShare outgoing = quota_transfers_.outgoing(team, partition);
  share.cpus -= outgoing.cpus;
  share.gpus -= outgoing.gpus;
  return share;
}

model::QuotaShare QuotaUsage::unused(const model::QuotaShare& share, const std::string& team,
                                     int partition) {
  const model::Resources& used = used_[{partition, team}];
  return {share.cpus - used.cpus, share.gpus - used.gpus};
}

double QuotaUsage::remaining_tasks(const model::JobSpec& spec, int partition) {
  const model::QuotaShare remaining = unused(share(spec.team, partition), spec.team, partition);
  return spec.fitting_tasks(
      {remaining.cpus, remaining.gpus, std::numeric_limits<double>::infinity()});
}

bool QuotaUsage::allows_task(const model::JobSpec& spec, int partition) {
  const model::Resources& used = used_[{partition, spec.team}];
  const model::QuotaShare& limit = share(spec.team, partition);
  return used.cpus + spec.request.cpus <= limit.cpus + kRoundingError &&
         used.gpus + spec.request.gpus <= limit.gpus + kRoundingError;
}

bool QuotaUsage::is_exceeded(const std::string& team, int partition) {
  const model::Resources& used = used_[{partition, team}];
  const model::QuotaShare& limit = share(team, partition);
  return used.cpus > limit.cpus + kRoundingError || used.gpus > limit.gpus + kRoundingError;
}

std::vector<wire::QuotaUse> QuotaUsage::owned_usage(
    const std::function<bool(int partition)>& owns) const {
  std::vector<wire::QuotaUse> uses;
  const auto& quotas = settings_.platform.teams;
  for (const auto& [key, used] : used_) {
    auto quota = quotas.find(key.team);
    if (!owns(key.partition) || quota == quotas.end()) continue;
    if (quota->second.max_cpus <= 0 && quota->second.max_gpus <= 0) continue;
    const model::QuotaShare outgoing = quota_transfers_.outgoing(key.team, key.partition);
    uses.push_back({key.partition, key.team, used.cpus + outgoing.cpus, used.gpus + outgoing.gpus});
  }
  return uses;
}

}  // namespace rooksill::partition
