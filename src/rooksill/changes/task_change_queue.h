// Queues changes of tasks' states and writes them to the store.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rooksill/changes/owned_partitions.h"
#include "rooksill/changes/shard_changes.h"
#include "rooksill/changes/shard_transaction_builder.h"
#include "rooksill/changes/shard_update.h"
#include "rooksill/changes/task_change.h"
#include "rooksill/changes/task_change_listener.h"
#include "rooksill/changes/write_rank.h"
#include "rooksill/model/job.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::changes {

// Queues changes as they are decided and writes them in the order of their rank, as fast as the
// store's limits allow, with several shards in one transaction. The preconditions of a transaction
// are the revisions of the shards and of the leases under which its changes were decided. A change
// that turns out to be stale is dropped without further effect: the component that decided it
// decides again on the replica's state at that time.
class TaskChangeQueue {
 public:
  // All arguments must outlive the queue.
  TaskChangeQueue(runtime::Context& context, const store::Replica& replica,
                  const store::Client& client, store::Committer& committer,
                  const OwnedPartitions& owned_partitions, TaskChangeListener& listener);

  // Queues a change that was decided on the replica's current state.
  void add(const model::TaskRef& task, TaskChange change);
  // Sends as many transactions as the limits allow.
  void flush();

  // Returns the change of a task that is not in the store yet; nullptr if there is none.
  const TaskChange* find(const model::TaskRef& task) const;
  // Returns whether the task has a change that is not in the store yet.
  bool is_pending(const model::TaskRef& task) const { return find(task) != nullptr; }
  // Returns all changes of a shard that are not in the store yet; nullptr if there are none.
  const ShardChanges* find_shard(const model::ShardId& id) const;
  // Returns whether a placement in the shard would be written soon if it were queued now: few
  // shards are to be written before it, or the shard is to be written anyway. A queued placement
  // reserves its capacity. When few writes are allowed, only as many placements are decided as can
  // be written soon, so that capacity is left for changes of a higher rank and each write uses all
  // the capacity that has become free by then.
  bool can_queue_placement(const model::Job& job, uint32_t shard) const;
  // Returns the number of shards that have changes to be sent.
  size_t pending_shard_count() const { return write_order_.size(); }

 private:
  // A shard's position in the order of writing.
  struct QueuePosition {
    WriteRank rank = WriteRank::kGatheredResult;
    double pending_since = 0;  // seconds of the steady clock
    model::ShardId shard;
    auto operator<=>(const QueuePosition&) const = default;
  };
  struct Entry {
    ShardChanges changes;
    std::optional<QueuePosition> position;  // set while the shard is in the order of writing
  };

  void enqueue(const model::ShardId& id, Entry& entry);
  void dequeue(Entry& entry);
  WriteRank rank_of(const model::Job& job, uint32_t shard, const ShardChanges& changes) const;
  bool expects_more_results(const model::Job& job, uint32_t shard,
                            const ShardChanges& changes) const;

  bool flush_once();
  bool can_send(const QueuePosition& position, const ShardTransactionBuilder& transaction) const;
  ShardTransactionBuilder::AddResult add_to_transaction(const model::ShardId& id,
                                                        ShardTransactionBuilder& transaction);
  bool send(ShardTransactionBuilder& transaction);

  void on_outcome(const std::vector<model::ShardId>& shards, const std::vector<std::string>& keys,
                  const store::TransactionResult& result);
  void mark_reading_back(const std::vector<model::ShardId>& shards);
  void resolve_unknown(const std::vector<model::ShardId>& shards);
  void remove_sent(const std::vector<model::ShardId>& shards);
  void requeue_sent(const std::vector<model::ShardId>& shards);
  void notify_removed(const model::ShardId& id, uint32_t index, const TaskChange& change);

  runtime::Context& context_;
  const store::Replica& replica_;
  const store::Client& client_;
  store::Committer& committer_;
  const OwnedPartitions& owned_partitions_;
  TaskChangeListener& listener_;
  std::map<model::ShardId, Entry> shards_;
  std::set<QueuePosition> write_order_;
  int in_flight_transactions_ = 0;  // without a response
  double backoff_until_ = 0;        // seconds of the steady clock
};

}  // namespace rooksill::changes
