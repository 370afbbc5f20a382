// The partitions that this process owns.
#pragma once

#include <map>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/store/replica.h"

namespace rooksill::changes {

// Partitions that this process has acquired and not released, each with the revision of the lease
// under which it was acquired. A partition whose lease has changed since stays in the list but is
// not owned any more. The revision is compared because a partition may go to another owner and come
// back within one batch of updates; it then has to be acquired again.
class OwnedPartitions {
 public:
  // The replica must outlive this object.
  explicit OwnedPartitions(const store::Replica& replica) : replica_(replica) {}

  // Acquires a partition under its current lease in the replica.
  void acquire(int partition);
  // Releases a partition.
  void release(int partition) { lease_revisions_.erase(partition); }

  // Returns whether the partition was acquired and not released, even if its lease has changed.
  bool has_acquired(int partition) const { return lease_revisions_.count(partition) != 0; }
  // Returns whether the partition was acquired under its current lease.
  bool owns(int partition) const;
  // Returns whether the partition is owned and its lease has this revision.
  bool owns_under_lease(int partition, model::Revision lease_revision) const;

  // Returns whether no partition is acquired.
  bool empty() const { return lease_revisions_.empty(); }
  // Returns the acquired partitions in ascending order.
  std::vector<int> acquired_partitions() const;

 private:
  const store::Replica& replica_;
  std::map<int, model::Revision> lease_revisions_;  // by partition
};

}  // namespace rooksill::changes
