// Changes of tasks' states on their way to the store.
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

// Takes changes as they are decided and writes them in the order of their rank, as fast as the
// store's limits allow, several shards in one transaction. Each transaction is guarded on the
// shards' revisions and on the leases under which its changes were decided. A change that turns out
// to be out of date is dropped; nothing is derived from it: whoever decided it decides anew on what
// the replica says then.
class TaskChangeQueue {
 public:
  // All arguments must outlive the queue.
  TaskChangeQueue(runtime::Context& context, const store::Replica& replica,
                  const store::Client& client, store::Committer& committer,
                  const OwnedPartitions& owned_partitions, TaskChangeListener& listener);

  // Queues a change that was decided on the replica as it is now.
  void add(const model::TaskRef& task, TaskChange change);
  // Writes what the limits allow.
  void flush();

  // The change of a task that the store does not have yet; nullptr if there is none.
  const TaskChange* find(const model::TaskRef& task) const;
  bool is_pending(const model::TaskRef& task) const { return find(task) != nullptr; }
  // All such changes of a shard; nullptr if there are none.
  const ShardChanges* find_shard(const model::ShardId& id) const;
  // Whether a placement in the shard would be written soon. One that is decided and not yet written
  // keeps its room from everybody: where writes are few, no more is decided than can be written
  // soon, so that what has a higher rank finds the room, and each write takes all that has come
  // free by then.
  bool can_queue_placement(const model::Job& job, uint32_t shard) const;
  // Shards whose changes are to be sent.
  size_t pending_shard_count() const { return write_order_.size(); }

 private:
  // A shard's place in the order of writing.
  struct QueuePosition {
    WriteRank rank = WriteRank::kGatheredResult;
    double pending_since = 0;  // steady clock
    model::ShardId shard;
    auto operator<=>(const QueuePosition&) const = default;
  };
  struct Entry {
    ShardChanges changes;
    std::optional<QueuePosition> position;  // while it is in the order of writing
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
  int in_flight_transactions_ = 0;         // transactions without an answer
  double backoff_until_ = 0;  // steady clock
};

}  // namespace rooksill::changes
