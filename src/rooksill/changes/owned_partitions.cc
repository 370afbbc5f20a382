#include "rooksill/changes/owned_partitions.h"

#include "rooksill/model/coordination.h"

namespace rooksill::changes {

void OwnedPartitions::acquire(int partition) {
  lease_revisions_[partition] = replica_.leases[static_cast<size_t>(partition)].revision;
}

bool OwnedPartitions::owns(int partition) const {
  auto it = lease_revisions_.find(partition);
  return it != lease_revisions_.end() &&
         it->second == replica_.leases[static_cast<size_t>(partition)].revision;
}

bool OwnedPartitions::owns_under_lease(int partition, model::Revision lease_revision) const {
  auto it = lease_revisions_.find(partition);
  return it != lease_revisions_.end() && it->second == lease_revision && owns(partition);
}

std::vector<int> OwnedPartitions::acquired_partitions() const {
  std::vector<int> partitions;
  partitions.reserve(lease_revisions_.size());
  for (const auto& [partition, lease_revision] : lease_revisions_) partitions.push_back(partition);
  return partitions;
}

}  // namespace rooksill::changes
