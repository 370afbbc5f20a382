// The partitions that this process owns.
#pragma once

#include <map>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/store/replica.h"

namespace rooksill::changes {

// Partitions that this process acquired and has not released, each with the revision of the lease
// that it was acquired under. A partition whose lease has changed since is still listed, but not
// owned any more: one that went to another owner and came back within a batch is not the one that
// was acquired.
class OwnedPartitions {
 public:
  explicit OwnedPartitions(const store::Replica& replica) : replica_(replica) {}

  // Acquires a partition under the lease that the replica has of it now.
  void acquire(int partition);
  void release(int partition) { lease_revisions_.erase(partition); }

  // Acquired and not released, whatever became of its lease.
  bool has_acquired(int partition) const { return lease_revisions_.count(partition) != 0; }
  // Whether the lease that the partition was acquired under is still the present one.
  bool owns(int partition) const;
  // Whether the partition is owned under the lease with this revision.
  bool owns_under_lease(int partition, model::Revision lease_revision) const;

  bool empty() const { return lease_revisions_.empty(); }
  // The partitions acquired, in ascending order.
  std::vector<int> acquired_partitions() const;

 private:
  const store::Replica& replica_;
  std::map<int, model::Revision> lease_revisions_;  // by partition
};

}  // namespace rooksill::changes
