// The update that results from a shard's pending changes: its new value and its preconditions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/changes/owned_partitions.h"
#include "rooksill/changes/shard_changes.h"
#include "rooksill/changes/task_change.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/store/replica.h"

namespace rooksill::changes {

// Returns the newest revision among the keys that a placement is decided on: the partition's lease
// and, if the placement of a job's tasks depends on each other, all shards of the job. The
// preconditions of a transaction are the revisions known when it is sent. A placement whose basis
// revision has changed by then must not be sent: a decision made on older revisions would be
// written under newer preconditions.
model::Revision placement_basis_revision(const store::Replica& replica, const model::Job& job,
                                         int partition);

// Preconditions by key: the revision that the key must have when the transaction is applied.
using Preconditions = std::map<std::string, model::Revision>;

// A change that was removed from the pending changes and will not be written.
struct RemovedChange {
  uint32_t index = 0;  // of the task in the shard
  TaskChange change;
};

// Computes the update of one shard. Works on the shard's pending changes in place: stale changes
// are removed from them and listed in removed(), in the order of their removal. Call apply() first,
// then encode(), then the queries.
class ShardUpdate {
 public:
  // All arguments must outlive the update. `shard` is an index into the job's shards.
  ShardUpdate(const store::Replica& replica, const OwnedPartitions& owned_partitions,
              const model::Job& job, uint32_t shard, ShardChanges& changes);

  // Applies the pending changes to the tasks' states in the replica. Returns false if no pending
  // change is left.
  bool apply();
  // Encodes the shard's new value, and removes placements until it has at most `max_bytes`. Returns
  // false if that is not possible or no pending change is left. A deleted shard has no value.
  bool encode(size_t max_bytes);

  // Returns whether this update completes the job: all of its tasks are done.
  bool finishes_job() const { return finishes_job_; }
  // Returns whether the shard's key is deleted, as the shards of a job that is over are not needed
  // any more.
  bool deletes_shard() const { return deletes_shard_; }
  // Returns the preconditions for writing the update.
  Preconditions preconditions() const;
  // Moves the encoded value out of the update; null if the key is deleted.
  nlohmann::json extract_value() { return std::move(value_); }
  // Returns the size of the encoded value; 0 if the key is deleted.
  size_t value_bytes() const { return value_bytes_; }
  // Returns the changes that were removed from the pending changes.
  const std::vector<RemovedChange>& removed() const { return removed_; }

 private:
  bool is_lease_current(const LeasedMachine& machine) const;
  bool has_current_leases(const TaskChange& change) const;
  bool apply_change(const TaskChange& change, model::TaskState& state) const;
  bool apply_placement(const TaskChange& change, model::TaskState& state) const;
  static bool apply_end(const TaskChange& change, model::TaskState& state);
  void enforce_gang_atomicity();
  void complete_gang();
  bool is_gang_fully_placed() const;
  bool remove_last_placement();
  ShardChanges::ChangesByIndex::const_iterator remove_change(
      ShardChanges::ChangesByIndex::const_iterator position);
  void update_end_flags();

  const store::Replica& replica_;
  const OwnedPartitions& owned_partitions_;
  const model::Job& job_;
  const model::TaskShard& shard_;
  const model::ShardId id_;
  ShardChanges& changes_;
  std::vector<model::TaskState> tasks_;  // with the pending changes applied
  std::vector<RemovedChange> removed_;
  nlohmann::json value_;  // null: the key is deleted
  size_t value_bytes_ = 0;
  bool finishes_job_ = false;
  bool deletes_shard_ = false;
};

}  // namespace rooksill::changes
