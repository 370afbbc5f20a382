// Combines the updates of several shards into one transaction.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "rooksill/changes/owned_partitions.h"
#include "rooksill/changes/shard_changes.h"
#include "rooksill/changes/shard_update.h"
#include "rooksill/model/job.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/replica.h"

namespace rooksill::changes {

// Collects the writes and preconditions of a transaction, shard by shard. The shards that have been
// added are listed in shards().
class ShardTransactionBuilder {
 public:
  // The outcome of add().
  enum class AddResult {
    kAdded,      // the shard's pending changes are in the transaction and marked as sent
    kNoChanges,  // all changes of the shard were stale: none is left
    kTooLarge,   // the shard's value exceeds the store's limit, or did until no change was left
    kFull,       // the transaction has no capacity for the shard's preconditions
  };

  // The most writes that a shard needs: its own, and that of its job if the update ends the job.
  static constexpr size_t kMaxShardWrites = 2;

  // All arguments must outlive the builder.
  ShardTransactionBuilder(runtime::Context& context, const store::Replica& replica,
                          const OwnedPartitions& owned_partitions);

  // Adds the update that results from a shard's pending changes. Stale changes are removed from
  // `changes`, even if nothing is added, and appended to `removed`. So are placements that make the
  // shard's value too large.
  AddResult add(const model::ShardId& id, ShardChanges& changes,
                std::vector<RemovedChange>& removed);

  // Returns whether no shard has been added.
  bool empty() const { return shards_.empty(); }
  // Returns the number of writes.
  size_t write_count() const { return writes_.size(); }
  // Returns the approximate size of the transaction: the values and an overhead for each write.
  size_t estimated_bytes() const { return estimated_bytes_; }

  // Returns the preconditions of all shards.
  std::vector<store::Precondition> preconditions() const;
  // Moves the writes out of the builder.
  std::vector<store::Write> extract_writes() { return std::move(writes_); }
  // Returns the shards that have been added.
  const std::vector<model::ShardId>& shards() const { return shards_; }
  // Returns the keys that are written.
  const std::vector<std::string>& keys() const { return keys_; }

 private:
  bool has_capacity_for(const Preconditions& added) const;
  void write_shard(const model::ShardId& id, ShardUpdate& update);
  void write_job_end(const model::Job& job);
  void count_changes(const ShardChanges& changes);

  runtime::Context& context_;
  const store::Replica& replica_;
  const OwnedPartitions& owned_partitions_;
  Preconditions preconditions_;
  std::vector<store::Write> writes_;
  std::vector<model::ShardId> shards_;
  std::vector<std::string> keys_;
  size_t estimated_bytes_ = 0;
};

}  // namespace rooksill::changes
