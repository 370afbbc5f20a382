#include "rooksill/partition/quota_usage.h"

#include <limits>

#include "rooksill/quota/quota_shares.h"

namespace rooksill::partition {

namespace {
constexpr double kRoundingError = model::Resources::kRoundingError;
}  // namespace

void QuotaUsage::add(const placement::MachineCapacity& machine) {
  for (const auto& [team, use] : machine.use_by_team) used_[{machine.partition, team}] += use;
}

void QuotaUsage::subtract(const placement::MachineCapacity& machine) {
  for (const auto& [team, use] : machine.use_by_team) used_[{machine.partition, team}] -= use;
}

const model::QuotaShare& QuotaUsage::share(const std::string& team, int partition) {
  auto [entry, fresh] = shares_.try_emplace({partition, team});
  model::QuotaShare& share = entry->second;
  if (!fresh) return share;
  share = quota::quota_share(settings_, replica_, team, partition);
  const model::QuotaShare leaving = transfers_.leaving(team, partition);
  share.cpus -= leaving.cpus;
  share.gpus -= leaving.gpus;
  return share;
}

model::QuotaShare QuotaUsage::unused(const model::QuotaShare& share, const std::string& team,
                                     int partition) {
  const model::Resources& used = used_[{partition, team}];
  return {share.cpus - used.cpus, share.gpus - used.gpus};
}

double QuotaUsage::tasks_left(const model::JobSpec& spec, int partition) {
  const model::QuotaShare left = unused(share(spec.team, partition), spec.team, partition);
  return spec.tasks_in({left.cpus, left.gpus, std::numeric_limits<double>::infinity()});
}

bool QuotaUsage::allows_task(const model::JobSpec& spec, int partition) {
  const model::Resources& used = used_[{partition, spec.team}];
  const model::QuotaShare& most = share(spec.team, partition);
  return used.cpus + spec.request.cpus <= most.cpus + kRoundingError &&
         used.gpus + spec.request.gpus <= most.gpus + kRoundingError;
}

bool QuotaUsage::exceeded(const std::string& team, int partition) {
  const model::Resources& used = used_[{partition, team}];
  const model::QuotaShare& most = share(team, partition);
  return used.cpus > most.cpus + kRoundingError || used.gpus > most.gpus + kRoundingError;
}

std::vector<wire::QuotaUse> QuotaUsage::report(
    const std::function<bool(int partition)>& owns) const {
  std::vector<wire::QuotaUse> uses;
  const auto& quotas = settings_.platform.teams;
  for (const auto& [key, used] : used_) {
    auto quota = quotas.find(key.team);
    if (!owns(key.partition) || quota == quotas.end()) continue;
    if (quota->second.max_cpus <= 0 && quota->second.max_gpus <= 0) continue;
    const model::QuotaShare leaving = transfers_.leaving(key.team, key.partition);
    uses.push_back({key.partition, key.team, used.cpus + leaving.cpus, used.gpus + leaving.gpus});
  }
  return uses;
}

}  // namespace rooksill::partition
