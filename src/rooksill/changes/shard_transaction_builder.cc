#include "rooksill/changes/shard_transaction_builder.h"

#include <algorithm>
#include <utility>

#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::changes {

namespace {

// A transaction may have this many times as many preconditions as the store's limit of writes.
constexpr size_t kPreconditionsPerWrite = 4;
// Estimated size of a write without its value, including its preconditions.
constexpr size_t kWriteOverheadBytes = 200;

const char* counter_name(TaskChange::Kind kind) {
  switch (kind) {
    case TaskChange::Kind::kPlaced:
      return "tasks_placed";
    case TaskChange::Kind::kLost:
      return "tasks_lost";
    case TaskChange::Kind::kDone:
      break;
  }
  return "tasks_done";
}

}  // namespace

ShardTransactionBuilder::ShardTransactionBuilder(runtime::Context& context,
                                                 const store::Replica& replica,
                                                 const OwnedPartitions& owned_partitions)
    : context_(context), replica_(replica), owned_partitions_(owned_partitions) {}

ShardTransactionBuilder::AddResult ShardTransactionBuilder::add(
    const model::ShardId& id, ShardChanges& changes, std::vector<RemovedChange>& removed) {
  const model::Job* job = replica_.job(id.job);
  if (job == nullptr || id.index >= job->shards.size()) {
    for (auto& [index, change] : changes.extract_pending())
      removed.push_back({index, std::move(change)});
    return AddResult::kNoChanges;
  }
  ShardUpdate update(replica_, owned_partitions_, *job, id.index, changes);
  const bool has_changes = update.apply();
  const bool fits = has_changes && update.encode(context_.settings.platform.store_max_value_bytes);
  removed.insert(removed.end(), update.removed().begin(), update.removed().end());
  if (!has_changes) return AddResult::kNoChanges;
  if (!fits) return AddResult::kTooLarge;
  Preconditions preconditions = update.preconditions();
  if (!has_capacity_for(preconditions)) return AddResult::kFull;
  preconditions_.merge(preconditions);
  write_shard(id, update);
  if (update.finishes_job()) write_job_end(*job);
  count_changes(changes);
  changes.mark_sent(job->shards[id.index].revision);
  shards_.push_back(id);
  return AddResult::kAdded;
}

bool ShardTransactionBuilder::has_capacity_for(const Preconditions& added) const {
  if (shards_.empty()) return true;
  const auto new_preconditions = std::count_if(
      added.begin(), added.end(),
      [&](const auto& precondition) { return preconditions_.count(precondition.first) == 0; });
  const size_t max_preconditions =
      context_.settings.platform.store_max_transaction_ops * kPreconditionsPerWrite;
  return preconditions_.size() + static_cast<size_t>(new_preconditions) <= max_preconditions;
}

void ShardTransactionBuilder::write_shard(const model::ShardId& id, ShardUpdate& update) {
  const std::string key = wire::shard_key(id.job, id.index);
  if (update.value_bytes() > 0) estimated_bytes_ += update.value_bytes() + kWriteOverheadBytes;
  keys_.push_back(key);
  writes_.push_back({key, update.extract_value(), 0});
}

// The value is a few bytes, which are covered by the overhead of the shard's write.
void ShardTransactionBuilder::write_job_end(const model::Job& job) {
  model::Job ended;
  ended.spec.tasks = job.spec.tasks;
  ended.end = model::JobEnd::kDone;
  const std::string key = wire::job_key(job.spec.id);
  keys_.push_back(key);
  writes_.push_back({key, wire::encode_job(ended), 0});
}

void ShardTransactionBuilder::count_changes(const ShardChanges& changes) {
  for (const auto& [index, change] : changes.pending()) context_.count(counter_name(change.kind));
}

std::vector<store::Precondition> ShardTransactionBuilder::preconditions() const {
  std::vector<store::Precondition> result;
  result.reserve(preconditions_.size());
  for (const auto& [key, revision] : preconditions_) result.push_back({key, revision});
  return result;
}

}  // namespace rooksill::changes
