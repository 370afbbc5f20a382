// Gathers the updates of several shards into one transaction.
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

class ShardTransactionBuilder {
 public:
  enum class AddResult {
    kAdded,     // the shard's waiting changes go with the transaction, and are marked as sent
    kNoChanges,   // no change of the shard is of use any more
    kTooLarge,  // the shard's value is over the store's limit, or was until no change was left
    kFull,      // the transaction has no room for the shard's preconditions
  };

  // Writes that a shard takes at most: its own, and that of its job if this ends it.
  static constexpr size_t kMaxShardWrites = 2;

  // All arguments must outlive the builder.
  ShardTransactionBuilder(runtime::Context& context, const store::Replica& replica,
                          const OwnedPartitions& owned_partitions);

  // Adds what a shard's waiting changes come to. Those that are out of date are removed from
  // `changes`, also where nothing is added, and appended to `removed`.
  AddResult add(const model::ShardId& id, ShardChanges& changes, std::vector<RemovedChange>& removed);

  bool empty() const { return shards_.empty(); }
  size_t write_count() const { return writes_.size(); }
  // Of the values written and what comes around them, about.
  size_t estimated_bytes() const { return estimated_bytes_; }

  std::vector<store::Precondition> preconditions() const;
  std::vector<store::Write> extract_writes() { return std::move(writes_); }
  const std::vector<model::ShardId>& shards() const { return shards_; }
  // The keys written.
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
