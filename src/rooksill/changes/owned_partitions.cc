#include "rooksill/changes/owned_partitions.h"

#include "rooksill/model/coordination.h"

namespace rooksill::changes {

void OwnedPartitions::acquire(int partition) {
  leases_[partition] = replica_.leases[static_cast<size_t>(partition)].revision;
}

bool OwnedPartitions::owns(int partition) const {
  auto it = leases_.find(partition);
  return it != leases_.end() &&
         it->second == replica_.leases[static_cast<size_t>(partition)].revision;
}

bool OwnedPartitions::owns_under(int partition, model::Revision lease) const {
  auto it = leases_.find(partition);
  return it != leases_.end() && it->second == lease && owns(partition);
}

std::vector<int> OwnedPartitions::list() const {
  std::vector<int> out;
  out.reserve(leases_.size());
  for (const auto& [partition, lease] : leases_) out.push_back(partition);
  return out;
}

}  // namespace rooksill::changes
