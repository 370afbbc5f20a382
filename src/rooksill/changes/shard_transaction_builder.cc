#include "rooksill/changes/shard_transaction_builder.h"

#include <algorithm>
#include <utility>

#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::changes {

namespace {

constexpr size_t kPreconditionsPerWrite = 4;  // of the store's limit of writes in a transaction
constexpr size_t kWriteOverheadBytes = 200;   // of a write besides its value, and its preconditions

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
                                                 const OwnedPartitions& owned)
    : context_(context), replica_(replica), owned_(owned) {}

ShardTransactionBuilder::Added ShardTransactionBuilder::add(const model::ShardId& id,
                                                            ShardChanges& changes,
                                                            std::vector<RemovedChange>& removed) {
  const model::Job* job = replica_.job(id.job);
  if (job == nullptr || id.index >= job->shards.size()) {
    for (auto& [index, change] : changes.take_waiting())
      removed.push_back({index, std::move(change)});
    return Added::kNothing;
  }
  ShardUpdate update(replica_, owned_, *job, id.index, changes);
  const bool any_left = update.apply();
  const bool fits = any_left && update.encode(context_.settings.platform.store_max_value_bytes);
  removed.insert(removed.end(), update.removed().begin(), update.removed().end());
  if (!any_left) return Added::kNothing;
  if (!fits) return Added::kTooLarge;
  Preconditions preconditions = update.preconditions();
  if (!has_room_for(preconditions)) return Added::kFull;
  preconditions_.merge(preconditions);
  write_shard(id, update);
  if (update.finishes_job()) write_job_end(*job);
  count_kinds(changes);
  changes.mark_sent(job->shards[id.index].revision);
  shards_.push_back(id);
  return Added::kShard;
}

bool ShardTransactionBuilder::has_room_for(const Preconditions& added) const {
  if (shards_.empty()) return true;
  const auto fresh = std::count_if(added.begin(), added.end(), [&](const auto& precondition) {
    return preconditions_.count(precondition.first) == 0;
  });
  const size_t most = context_.settings.platform.store_max_transaction_ops * kPreconditionsPerWrite;
  return preconditions_.size() + static_cast<size_t>(fresh) <= most;
}

void ShardTransactionBuilder::write_shard(const model::ShardId& id, ShardUpdate& update) {
  const std::string key = wire::shard_key(id.job, id.index);
  if (update.value_bytes() > 0) bytes_ += update.value_bytes() + kWriteOverheadBytes;
  keys_.push_back(key);
  writes_.push_back({key, update.take_value(), 0});
}

// A few bytes: they count as part of the shard's overhead.
void ShardTransactionBuilder::write_job_end(const model::Job& job) {
  model::Job ended;
  ended.spec.tasks = job.spec.tasks;
  ended.end = model::JobEnd::kDone;
  const std::string key = wire::job_key(job.spec.id);
  keys_.push_back(key);
  writes_.push_back({key, wire::encode_job(ended), 0});
}

void ShardTransactionBuilder::count_kinds(const ShardChanges& changes) {
  for (const auto& [index, change] : changes.waiting()) context_.count(counter_name(change.kind));
}

std::vector<store::Precondition> ShardTransactionBuilder::preconditions() const {
  std::vector<store::Precondition> out;
  out.reserve(preconditions_.size());
  for (const auto& [key, revision] : preconditions_) out.push_back({key, revision});
  return out;
}

}  // namespace rooksill::changes
