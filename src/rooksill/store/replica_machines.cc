// Replica: machine lists, by partition and page.
#include <nlohmann/json.hpp>

#include "rooksill/store/machine_directory.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::store {

using nlohmann::json;

namespace {
constexpr int kMaxPagesPerPartition = 1000;  // no controller writes more pages for a partition
}

bool Replica::apply_machines(const model::MachinePageId& id, const json& value,
                             model::Revision revision) {
  if (static_cast<size_t>(id.partition) >= leases.size() || id.page >= kMaxPagesPerPartition)
    return false;
  const MachinePage* known = directory_.page(id);
  if (known != nullptr && revision <= known->revision) return false;
  const auto listed = wire::decode_machines(value);
  if (!listed) return false;
  for (const auto& name : directory_.replace_page(id, *listed, revision)) {
    changes.changed_machines.insert(name);
    recount_tasks_on(name);
  }
  return true;
}

// Called when a machine was added or removed: its tasks count as placed, or need a machine again.
void Replica::recount_tasks_on(const std::string& machine) {
  std::set<model::ShardId> shards;
  for (const auto& ref : placed_on(machine))
    if (const model::Job* known = job(ref.job)) shards.insert(known->shard_of(ref.index));
  for (const auto& id : shards) {
    model::Job& known = *job(id.job);
    if (id.index >= known.shards.size()) continue;
    recount(known, known.shards[id.index]);
    changes.changed_jobs.insert(id.job);
  }
}

}  // namespace rooksill::store
