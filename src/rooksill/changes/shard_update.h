// What the waiting changes of a shard come to: its new value, and the revisions that this rests on.
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

// The newest revision among the keys that a placement is decided on: its partition's lease and,
// where a job's tasks depend on each other's places, all its shards. A transaction guards what is
// known when it is sent; a placement whose basis has changed by then must not go out, or a decision
// made on older knowledge would be written under newer guards.
model::Revision placement_basis_revision(const store::Replica& replica, const model::Job& job,
                                int partition);

// Preconditions by key: the revision that the key must still have.
using Preconditions = std::map<std::string, model::Revision>;

// A change that was removed from those that wait: it is not to be written any more.
struct RemovedChange {
  uint32_t index = 0;  // of the task in the shard
  TaskChange change;
};

// Works on the shard's waiting changes in place: those that are out of date are removed from them,
// and listed in `removed()` in the order of their removal.
class ShardUpdate {
 public:
  // All arguments must outlive the update. `shard` is an index into the job's shards.
  ShardUpdate(const store::Replica& replica, const OwnedPartitions& owned_partitions, const model::Job& job,
              uint32_t shard, ShardChanges& changes);

  // Applies the waiting changes to the tasks as the replica has them. False if none is left.
  bool apply();
  // Encodes the shard's new value. Placements are given up until it has at most that many bytes.
  // False if it cannot, or if no change is left. A shard that is deleted has no value.
  bool encode(size_t max_bytes);

  // Whether all tasks of the job are done with this update.
  bool finishes_job() const { return finishes_job_; }
  // Whether the shard's key is deleted: what a job that is over leaves behind is of no use.
  bool deletes_shard() const { return deletes_shard_; }
  Preconditions preconditions() const;
  nlohmann::json extract_value() { return std::move(value_); }
  size_t value_bytes() const { return value_bytes_; }
  const std::vector<RemovedChange>& removed() const { return removed_; }

 private:
  bool has_current_leases(const TaskChange& change) const;
  bool apply_change(const TaskChange& change, model::TaskState& state) const;
  bool apply_placement(const TaskChange& change, model::TaskState& state) const;
  static bool apply_end(const TaskChange& change, model::TaskState& state);
  void enforce_gang_atomicity();
  void complete_gang();
  bool is_gang_fully_placed() const;
  bool remove_last_placement();
  ShardChanges::ChangesByIndex::const_iterator remove_change(ShardChanges::ChangesByIndex::const_iterator position);
  void update_end_flags();

  const store::Replica& replica_;
  const OwnedPartitions& owned_partitions_;
  const model::Job& job_;
  const model::TaskShard& shard_;
  const model::ShardId id_;
  ShardChanges& changes_;
  std::vector<model::TaskState> tasks_;  // with the changes applied
  std::vector<RemovedChange> removed_;
  nlohmann::json value_;  // null: the key is deleted
  size_t value_bytes_ = 0;
  bool finishes_job_ = false;
  bool deletes_shard_ = false;
};

}  // namespace rooksill::changes
