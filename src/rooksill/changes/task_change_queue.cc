#include "rooksill/changes/task_change_queue.h"

#include <algorithm>
#include <utility>

#include "rooksill/model/coordination.h"
#include "rooksill/model/machine.h"

namespace rooksill::changes {

namespace {
constexpr int kMaxInFlightTransactions = 2;  // sent and without a response
constexpr double kBackoffSeconds = 0.15;     // after the store refused a transaction
constexpr double kGatherHeartbeats = 3;      // heartbeat intervals for which results are gathered
constexpr size_t kMaxTransactionBytes = size_t{40} << 10;  // well below the store's limit
// A transaction may have at most this fraction of the writes that are allowed in one second.
constexpr double kTransactionWritesRatio = 0.6;
// A placement may be queued if the shards to be written before it take at most this time at the
// write limit.
constexpr double kPlacementBacklogSeconds = 0.25;
// Number of shards that may be ahead of a placement even if the write limit is low.
constexpr double kMinPlacementBacklogShards = 2;
}  // namespace

TaskChangeQueue::TaskChangeQueue(runtime::Context& context, const store::Replica& replica,
                                 const store::Client& client, store::Committer& committer,
                                 const OwnedPartitions& owned_partitions,
                                 TaskChangeListener& listener)
    : context_(context),
      replica_(replica),
      client_(client),
      committer_(committer),
      owned_partitions_(owned_partitions),
      listener_(listener) {}

// ---- pending changes -----------------------------------------------------------------------

void TaskChangeQueue::add(const model::TaskRef& task, TaskChange change) {
  const model::Job* job = replica_.job(task.job);
  if (job == nullptr) return;
  listener_.on_change_added(task, change);
  const int partition = change.machine.partition;
  change.machine.lease_revision = replica_.leases[static_cast<size_t>(partition)].revision;
  if (change.kind == TaskChange::Kind::kPlaced)
    change.basis_revision = placement_basis_revision(replica_, *job, partition);
  const model::ShardId id = job->shard_of(task.index);
  Entry& entry = shards_[id];
  entry.changes.add(task.index % job->tasks_per_shard, std::move(change), context_.now.steady);
  if (!entry.changes.is_in_flight()) enqueue(id, entry);
}

const ShardChanges* TaskChangeQueue::find_shard(const model::ShardId& id) const {
  auto it = shards_.find(id);
  return it == shards_.end() ? nullptr : &it->second.changes;
}

const TaskChange* TaskChangeQueue::find(const model::TaskRef& task) const {
  const model::Job* job = replica_.job(task.job);
  if (job == nullptr) return nullptr;
  const ShardChanges* changes = find_shard(job->shard_of(task.index));
  return changes == nullptr ? nullptr : changes->find(task.index % job->tasks_per_shard);
}

// ---- order of writing ----------------------------------------------------------------------

void TaskChangeQueue::enqueue(const model::ShardId& id, Entry& entry) {
  dequeue(entry);
  const model::Job* job = replica_.job(id.job);
  const ShardChanges& changes = entry.changes;
  if (job == nullptr || changes.pending().empty()) return;
  entry.position = QueuePosition{rank_of(*job, id.index, changes), changes.pending_since(), id};
  write_order_.insert(*entry.position);
}

void TaskChangeQueue::dequeue(Entry& entry) {
  if (entry.position) write_order_.erase(*entry.position);
  entry.position.reset();
}

WriteRank TaskChangeQueue::rank_of(const model::Job& job, uint32_t shard,
                                   const ShardChanges& changes) const {
  const uint32_t tasks_per_result = job.spec.shape == model::Shape::kGang ? job.spec.tasks : 1;
  uint32_t done_tasks = job.done;
  bool has_decision = false, is_terminating = false;
  for (const auto& [index, change] : changes.pending()) {
    if (change.kind == TaskChange::Kind::kDone)
      done_tasks += tasks_per_result;
    else
      has_decision = true;
    is_terminating = is_terminating || listener_.is_terminating(change.machine.name);
  }
  if (is_terminating || done_tasks >= job.spec.tasks) return WriteRank::kUrgentResult;
  if (has_decision || !expects_more_results(job, shard, changes)) return decision_rank(job.spec);
  return WriteRank::kGatheredResult;
}

// Returns whether machines of this process still run tasks of the shard, whose results can be
// gathered with the pending ones. Tasks on machines of other owners do not count: these do not know
// this process's pending results either, and a job whose tasks have all ended must not be delayed
// at each owner until the store has capacity to spare.
bool TaskChangeQueue::expects_more_results(const model::Job& job, uint32_t shard,
                                           const ShardChanges& changes) const {
  const auto& tasks = job.shards[shard].tasks;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].done || tasks[i].machine.empty() || changes.find(i) != nullptr) continue;
    const model::Machine* machine = replica_.machine(tasks[i].machine);
    if (machine != nullptr && owned_partitions_.owns(machine->partition)) return true;
  }
  return false;
}

bool TaskChangeQueue::can_queue_placement(const model::Job& job, uint32_t shard) const {
  if (job.spec.shape == model::Shape::kService) return true;  // few, and must not be delayed
  // More changes of a shard that is to be written anyway need no further write.
  auto entry = shards_.find({job.spec.id, shard});
  if (entry != shards_.end() && entry->second.position) return true;
  const auto max_shards_ahead = static_cast<size_t>(
      std::max(kMinPlacementBacklogShards, kPlacementBacklogSeconds * client_.writes_per_s()));
  const WriteRank rank = decision_rank(job.spec);
  size_t shards_ahead = 0;
  for (const QueuePosition& position : write_order_) {
    if (position.rank > rank) break;
    if (++shards_ahead >= max_shards_ahead) return false;
  }
  return true;
}

// ---- sending -------------------------------------------------------------------------------

void TaskChangeQueue::flush() {
  while (in_flight_transactions_ < kMaxInFlightTransactions && flush_once()) {
  }
}

// Sends one transaction. Returns false if nothing was sent.
bool TaskChangeQueue::flush_once() {
  if (write_order_.empty() || context_.now.steady < backoff_until_) return false;
  ShardTransactionBuilder transaction(context_, replica_, owned_partitions_);
  for (auto next = write_order_.begin(); next != write_order_.end();) {
    const QueuePosition position = *next;
    if (!can_send(position, transaction)) break;
    ++next;  // before the shard is added, which removes it from the order
    const auto result = add_to_transaction(position.shard, transaction);
    if (result == ShardTransactionBuilder::AddResult::kFull) break;
    if (result == ShardTransactionBuilder::AddResult::kAdded)
      context_.count(counter_name(position.rank));
  }
  return !transaction.empty() && send(transaction);
}

// Returns whether the limits allow adding the shard at this position to the transaction.
bool TaskChangeQueue::can_send(const QueuePosition& position,
                               const ShardTransactionBuilder& transaction) const {
  const size_t writes = transaction.write_count() + ShardTransactionBuilder::kMaxShardWrites;
  if (!client_.has_capacity_for(static_cast<double>(writes) + client_.reserved_writes(),
                                reserved_ratio(position.rank)))
    return false;
  const auto& platform = context_.settings.platform;
  const size_t max_writes = std::max(
      ShardTransactionBuilder::kMaxShardWrites,
      std::min<size_t>(platform.store_max_transaction_ops,
                       static_cast<size_t>(client_.writes_per_s() * kTransactionWritesRatio)));
  if (writes > max_writes || transaction.estimated_bytes() > kMaxTransactionBytes) return false;
  return position.rank != WriteRank::kGatheredResult ||
         context_.now.steady - position.pending_since >= kGatherHeartbeats * platform.report_s;
}

ShardTransactionBuilder::AddResult TaskChangeQueue::add_to_transaction(
    const model::ShardId& id, ShardTransactionBuilder& transaction) {
  using AddResult = ShardTransactionBuilder::AddResult;
  auto it = shards_.find(id);
  std::vector<RemovedChange> removed;
  const AddResult result = transaction.add(id, it->second.changes, removed);
  for (const auto& [index, change] : removed) notify_removed(id, index, change);
  if (result == AddResult::kTooLarge) context_.count("too_large");  // stays in the order of writing
  if (result == AddResult::kAdded || result == AddResult::kNoChanges) dequeue(it->second);
  if (result == AddResult::kNoChanges) shards_.erase(it);
  return result;
}

bool TaskChangeQueue::send(ShardTransactionBuilder& transaction) {
  const std::vector<model::ShardId>& shards = transaction.shards();
  const bool sent = committer_.commit(
      transaction.preconditions(), transaction.extract_writes(),
      [this, shards, keys = transaction.keys()](const store::TransactionResult& result) {
        --in_flight_transactions_;
        on_outcome(shards, keys, result);
      });
  if (sent)
    ++in_flight_transactions_;
  else
    requeue_sent(shards);
  return sent;
}

// ---- outcome -------------------------------------------------------------------------------

void TaskChangeQueue::on_outcome(const std::vector<model::ShardId>& shards,
                                 const std::vector<std::string>& keys,
                                 const store::TransactionResult& result) {
  switch (result.outcome) {
    case store::TransactionOutcome::kApplied:
      remove_sent(shards);
      return;
    case store::TransactionOutcome::kRefused:
    case store::TransactionOutcome::kLeaseExpired:
    case store::TransactionOutcome::kTooLarge:
      context_.count("refused");
      backoff_until_ = context_.now.steady + kBackoffSeconds;
      requeue_sent(shards);
      return;
    case store::TransactionOutcome::kConflict:
      context_.count("conflicts", static_cast<double>(shards.size()));
      context_.debug("changes", "transaction with {} shards rejected: conflict on key {}",
                     shards.size(),
                     result.conflicting_keys.empty() ? "" : result.conflicting_keys.front());
      mark_reading_back(shards);
      // Drops everything that was decided on stale revisions; it is decided again.
      committer_.refresh(result.conflicting_keys, [this, shards] { remove_sent(shards); });
      return;
    case store::TransactionOutcome::kUnknown:
      mark_reading_back(shards);
      committer_.refresh(keys, [this, shards] { resolve_unknown(shards); });
      return;
  }
}

void TaskChangeQueue::mark_reading_back(const std::vector<model::ShardId>& shards) {
  for (const model::ShardId& id : shards) shards_.at(id).changes.mark_reading_back();
}

// Called after a transaction without a response, when its keys have been read back. If a shard has
// changed, the transaction can no longer be applied. Otherwise it may still be applied seconds
// later, and until then none of its changes may be undone: a placement keeps its capacity and its
// use of the team's quota, and a task that is written as lost is not restarted on its machine. The
// same changes are sent again; whichever transaction is applied first makes the other one fail.
void TaskChangeQueue::resolve_unknown(const std::vector<model::ShardId>& shards) {
  for (const model::ShardId& id : shards) {
    const model::Job* job = replica_.job(id.job);
    const ShardChanges* changes = find_shard(id);
    const bool may_be_applied = job != nullptr && changes != nullptr &&
                                id.index < job->shards.size() &&
                                job->shards[id.index].revision == changes->sent_revision();
    if (may_be_applied)
      requeue_sent({id});
    else
      remove_sent({id});
  }
}

void TaskChangeQueue::remove_sent(const std::vector<model::ShardId>& shards) {
  for (const model::ShardId& id : shards) {
    auto it = shards_.find(id);
    if (it == shards_.end()) continue;
    ShardChanges& changes = it->second.changes;
    for (const auto& [index, change] : changes.extract_sent()) notify_removed(id, index, change);
    if (changes.pending().empty())
      shards_.erase(it);
    else
      enqueue(id, it->second);
  }
}

// Makes the sent changes pending again. Changes that were added since stay pending.
void TaskChangeQueue::requeue_sent(const std::vector<model::ShardId>& shards) {
  for (const model::ShardId& id : shards) {
    Entry& entry = shards_.at(id);
    entry.changes.requeue_sent();
    enqueue(id, entry);
  }
}

void TaskChangeQueue::notify_removed(const model::ShardId& id, uint32_t index,
                                     const TaskChange& change) {
  const model::Job* job = replica_.job(id.job);
  if (job == nullptr) return;  // cannot happen: the replica keeps every job
  listener_.on_change_removed({id.job, id.index * job->tasks_per_shard + index}, change);
}

}  // namespace rooksill::changes
