#include "rooksill/leader/capacity_view.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstddef>
#include <map>

namespace rooksill::leader {

namespace {

// The properties shared by all machines of a pool.
struct PoolKey {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const PoolKey&) const = default;
};

void add_machine(const wire::MachineStatus& status, MachinePool& pool) {
  for (size_t i = 0; i < pool.cpus_by_priority.size(); ++i)
    pool.cpus_by_priority[i] += status.cpus_by_priority[i];
  if (status.cpus_free <= 0) return;
  pool.free_capacity += {status.cpus_free, status.gpus_free, status.memory_free_gb};
  for (const auto& image : status.images) pool.free_cpus_by_image[image] += status.cpus_free;
}

}  // namespace

double MachinePool::preemptible_cpus(model::Priority priority) const {
  double sum = 0;
  for (size_t i = 0; i < static_cast<size_t>(priority); ++i) sum += cpus_by_priority[i];
  return sum;
}

bool MachineFilter::allows(const MachinePool& pool) const {
  if (pool.spot && !spec->spot) return false;
  if (!zone.empty() && pool.zone != zone) return false;
  return spec->allows_type(pool.type->name);
}

void CapacityView::rebuild(const wire::MachineStatusMap& statuses) {
  pools_.assign(replica_.leases.size(), {});
  std::vector<std::map<PoolKey, size_t>> positions(pools_.size());
  for (const auto& [name, status] : statuses) {
    const model::Machine* machine = replica_.machine(name);
    if (machine == nullptr || !status.is_up) continue;
    auto type = replica_.types.find(machine->type);
    if (type == replica_.types.end()) continue;
    const auto partition = static_cast<size_t>(machine->partition);
    auto& pools = pools_[partition];
    auto [position, is_new] = positions[partition].try_emplace(
        {machine->type, machine->zone, machine->spot}, pools.size());
    if (is_new) {
      MachinePool& pool = pools.emplace_back();
      pool.type = &type->second;
      pool.zone = machine->zone;
      pool.spot = machine->spot;
    }
    add_machine(status, pools[position->second]);
  }
}

const std::vector<std::vector<MachinePool>>& CapacityView::pools() {
  pools_.resize(replica_.leases.size());
  return pools_;
}

void CapacityView::deduct(int partition, const MachineFilter& filter, double tasks) {
  auto& pools = pools_[static_cast<size_t>(partition)];
  const model::JobSpec& spec = *filter.spec;
  const double cpus = spec.request.cpus;
  for (MachinePool& pool : pools) {
    if (tasks <= 0) break;
    if (!filter.allows(pool) || cpus <= 0) continue;
    const double fitting =
        std::min(tasks, std::max(0.0, std::floor(pool.free_capacity.cpus / cpus)));
    pool.free_capacity -= spec.request * fitting;
    tasks -= fitting;
  }
  // Tasks that exceed the free capacity preempt tasks of a lower priority.
  for (MachinePool& pool : pools) {
    if (!filter.allows(pool)) continue;
    for (size_t i = 0; i < static_cast<size_t>(spec.priority) && tasks > 0; ++i) {
      const double preempted = std::min(pool.cpus_by_priority[i], tasks * cpus);
      pool.cpus_by_priority[i] -= preempted;
      if (cpus > 0) tasks -= preempted / cpus;
    }
  }
}

}  // namespace rooksill::leader
