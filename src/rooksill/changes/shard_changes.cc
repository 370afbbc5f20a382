#include "rooksill/changes/shard_changes.h"

#include <utility>

namespace rooksill::changes {

const TaskChange* ShardChanges::find(uint32_t index) const {
  for (const ByIndex* changes : {&sent_, &waiting_})
    if (auto it = changes->find(index); it != changes->end()) return &it->second;
  return nullptr;
}

void ShardChanges::add(uint32_t index, TaskChange change, double now) {
  if (waiting_.empty()) waiting_since_ = now;
  auto before = waiting_.find(index);
  if (change.kind == TaskChange::Kind::kPlaced && before != waiting_.end() &&
      before->second.kind == TaskChange::Kind::kLost) {
    change.replaces = before->second.machine;
    waiting_.erase(before);
  }
  waiting_.insert({index, std::move(change)});
}

ShardChanges::ByIndex ShardChanges::take_waiting() { return std::exchange(waiting_, {}); }

void ShardChanges::mark_sent(model::Revision shard_revision) {
  sent_ = std::exchange(waiting_, {});
  sent_on_ = shard_revision;
  progress_ = Progress::kSent;
}

ShardChanges::ByIndex ShardChanges::take_sent() {
  progress_ = Progress::kWaiting;
  return std::exchange(sent_, {});
}

void ShardChanges::return_sent() {
  for (auto& change : take_sent()) waiting_.insert(change);
}

}  // namespace rooksill::changes
