#include "rooksill/changes/task_change_queue.h"

#include <algorithm>
#include <utility>

#include "rooksill/model/coordination.h"
#include "rooksill/model/machine.h"

namespace rooksill::changes {

namespace {
constexpr int kMaxInFlight = 2;                 // transactions at the same time
constexpr double kBackoff = 0.15;               // s, after the store refused a transaction
constexpr double kGatherReports = 3;            // report intervals for which results are gathered
constexpr size_t kMaxBytes = size_t{40} << 10;  // of a transaction, well below the store's limit
constexpr double kTransactionShare = 0.6;       // of a second's writes that a transaction may take
constexpr double kDecidedAhead = 0.25;          // s of writes that decisions may wait for
constexpr double kMinDecidedAhead = 2;          // shards, however few writes there are
}  // namespace

TaskChangeQueue::TaskChangeQueue(runtime::Context& context, const store::Replica& replica,
                                 const store::Client& client, store::Committer& committer,
                                 const OwnedPartitions& owned, TaskChangeListener& listener)
    : context_(context),
      replica_(replica),
      client_(client),
      committer_(committer),
      owned_(owned),
      listener_(listener) {}

// ---- pending changes -----------------------------------------------------------------------

void TaskChangeQueue::add(const model::TaskRef& task, TaskChange change) {
  const model::Job* job = replica_.job(task.job);
  if (job == nullptr) return;
  listener_.on_change_added(task, change);
  const int partition = change.machine.partition;
  change.machine.lease = replica_.leases[static_cast<size_t>(partition)].revision;
  if (change.kind == TaskChange::Kind::kPlaced)
    change.basis = placement_basis(replica_, *job, partition);
  const model::ShardId id = job->shard_of(task.index);
  Entry& entry = shards_[id];
  entry.changes.add(task.index % job->tasks_per_shard, std::move(change), context_.now.steady);
  if (!entry.changes.in_flight()) enqueue(id, entry);
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
  if (job == nullptr || changes.waiting().empty()) return;
  entry.position = Position{rank_of(*job, id.index, changes), changes.waiting_since(), id};
  order_.insert(*entry.position);
}

void TaskChangeQueue::dequeue(Entry& entry) {
  if (entry.position) order_.erase(*entry.position);
  entry.position.reset();
}

WriteRank TaskChangeQueue::rank_of(const model::Job& job, uint32_t shard,
                                   const ShardChanges& changes) const {
  const uint32_t tasks_each = job.spec.shape == model::Shape::kGang ? job.spec.tasks : 1;
  uint32_t done = job.done;
  bool decided = false, terminating = false;
  for (const auto& [index, change] : changes.waiting()) {
    if (change.kind == TaskChange::Kind::kDone)
      done += tasks_each;
    else
      decided = true;
    terminating = terminating || listener_.terminating(change.machine.name);
  }
  if (terminating || done >= job.spec.tasks) return WriteRank::kUrgentResult;
  if (decided || !more_results_expected(job, shard, changes)) return decision_rank(job.spec);
  return WriteRank::kGatheredResult;
}

// Whether this process's machines still have tasks of the shard whose results may be gathered with
// those that wait. Other owners may have some too, and know as little of ours: a job whose tasks
// have all ended must not wait for writes to spare at each of them.
bool TaskChangeQueue::more_results_expected(const model::Job& job, uint32_t shard,
                                            const ShardChanges& changes) const {
  const auto& tasks = job.shards[shard].tasks;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].done || tasks[i].machine.empty() || changes.find(i) != nullptr) continue;
    const model::Machine* machine = replica_.machine(tasks[i].machine);
    if (machine != nullptr && owned_.owns(machine->partition)) return true;
  }
  return false;
}

bool TaskChangeQueue::may_decide(const model::Job& job, uint32_t shard) const {
  if (job.spec.shape == model::Shape::kService) return true;  // few, and at once
  // A shard that is in the order of writing may take more changes at no cost.
  auto own = shards_.find({job.spec.id, shard});
  if (own != shards_.end() && own->second.position) return true;
  const auto most =
      static_cast<size_t>(std::max(kMinDecidedAhead, kDecidedAhead * client_.writes_per_s()));
  const WriteRank rank = decision_rank(job.spec);
  size_t ahead = 0;
  for (const Position& position : order_) {
    if (position.rank > rank) break;
    if (++ahead >= most) return false;
  }
  return true;
}

// ---- sending -------------------------------------------------------------------------------

void TaskChangeQueue::flush() {
  while (in_flight_ < kMaxInFlight && flush_once()) {
  }
}

// Sends one transaction. False if nothing was sent.
bool TaskChangeQueue::flush_once() {
  if (order_.empty() || context_.now.steady < backoff_until_) return false;
  ShardTransactionBuilder transaction(context_, replica_, owned_);
  for (auto next = order_.begin(); next != order_.end();) {
    const Position position = *next;
    if (!may_send(position, transaction)) break;
    ++next;  // adding the shard takes it out of the order
    const auto added = add_to_transaction(position.shard, transaction);
    if (added == ShardTransactionBuilder::Added::kFull) break;
    if (added == ShardTransactionBuilder::Added::kShard)
      context_.count(counter_name(position.rank));
  }
  return !transaction.empty() && send(transaction);
}

// Whether the shard at this position may go with the transaction, by the store's limits.
bool TaskChangeQueue::may_send(const Position& position,
                               const ShardTransactionBuilder& transaction) const {
  const size_t writes = transaction.write_count() + ShardTransactionBuilder::kMaxShardWrites;
  if (!client_.room_for(static_cast<double>(writes) + client_.reserved_writes(),
                        reserved_share(position.rank)))
    return false;
  const auto& platform = context_.settings.platform;
  const size_t most =
      std::max(ShardTransactionBuilder::kMaxShardWrites,
               std::min<size_t>(platform.store_max_transaction_ops,
                                static_cast<size_t>(client_.writes_per_s() * kTransactionShare)));
  if (writes > most || transaction.bytes() > kMaxBytes) return false;
  return position.rank != WriteRank::kGatheredResult ||
         context_.now.steady - position.since >= kGatherReports * platform.report_s;
}

ShardTransactionBuilder::Added TaskChangeQueue::add_to_transaction(
    const model::ShardId& id, ShardTransactionBuilder& transaction) {
  using Added = ShardTransactionBuilder::Added;
  auto it = shards_.find(id);
  std::vector<RemovedChange> removed;
  const Added added = transaction.add(id, it->second.changes, removed);
  for (const auto& [index, change] : removed) report_removed(id, index, change);
  if (added == Added::kTooLarge) context_.count("too_large");  // waits in the order as before
  if (added == Added::kShard || added == Added::kNothing) dequeue(it->second);
  if (added == Added::kNothing) shards_.erase(it);
  return added;
}

bool TaskChangeQueue::send(ShardTransactionBuilder& transaction) {
  const std::vector<model::ShardId>& shards = transaction.shards();
  const bool sent = committer_.commit(
      transaction.preconditions(), transaction.take_writes(),
      [this, shards, keys = transaction.keys()](const store::TransactionResult& result) {
        --in_flight_;
        on_outcome(shards, keys, result);
      });
  if (sent)
    ++in_flight_;
  else
    send_again(shards);
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
      backoff_until_ = context_.now.steady + kBackoff;
      send_again(shards);
      return;
    case store::TransactionOutcome::kConflict:
      context_.count("conflicts", static_cast<double>(shards.size()));
      context_.debug("changes", "transaction of {} shards failed on {}", shards.size(),
                     result.conflicting_keys.empty() ? "" : result.conflicting_keys.front());
      mark_reading_back(shards);
      // Nothing of what was decided on old knowledge is kept; it is derived anew.
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

// After a transaction without an answer, when its keys have been read back. One whose shard has
// changed can no longer be carried out. Otherwise it may be, seconds from now, and nothing that it
// says may be taken back till then: a placement keeps its room and its part of the team's quota,
// and a task that it writes lost is not started again in place. The same is sent again; whichever
// comes first, the other one fails.
void TaskChangeQueue::resolve_unknown(const std::vector<model::ShardId>& shards) {
  for (const model::ShardId& id : shards) {
    const model::Job* job = replica_.job(id.job);
    const ShardChanges* changes = find_shard(id);
    const bool may_be_applied = job != nullptr && changes != nullptr &&
                                id.index < job->shards.size() &&
                                job->shards[id.index].revision == changes->sent_on();
    if (may_be_applied)
      send_again({id});
    else
      remove_sent({id});
  }
}

void TaskChangeQueue::remove_sent(const std::vector<model::ShardId>& shards) {
  for (const model::ShardId& id : shards) {
    auto it = shards_.find(id);
    if (it == shards_.end()) continue;
    ShardChanges& changes = it->second.changes;
    for (const auto& [index, change] : changes.take_sent()) report_removed(id, index, change);
    if (changes.waiting().empty())
      shards_.erase(it);
    else
      enqueue(id, it->second);
  }
}

// What was decided since then stays; what was sent is tried again.
void TaskChangeQueue::send_again(const std::vector<model::ShardId>& shards) {
  for (const model::ShardId& id : shards) {
    Entry& entry = shards_.at(id);
    entry.changes.return_sent();
    enqueue(id, entry);
  }
}

void TaskChangeQueue::report_removed(const model::ShardId& id, uint32_t index,
                                     const TaskChange& change) {
  const model::Job* job = replica_.job(id.job);
  if (job == nullptr) return;  // does not happen: the replica keeps every job
  listener_.on_change_removed({id.job, id.index * job->tasks_per_shard + index}, change);
}

}  // namespace rooksill::changes
