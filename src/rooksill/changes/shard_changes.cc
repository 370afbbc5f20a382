#include "rooksill/changes/shard_changes.h"

#include <utility>

namespace rooksill::changes {

const TaskChange* ShardChanges::find(uint32_t index) const {
  for (const ChangesByIndex* changes : {&sent_, &pending_})
    if (auto it = changes->find(index); it != changes->end()) return &it->second;
  return nullptr;
}

void ShardChanges::add(uint32_t index, TaskChange change, double now) {
  if (pending_.empty()) pending_since_ = now;
  auto previous = pending_.find(index);
  if (change.kind == TaskChange::Kind::kPlaced && previous != pending_.end() &&
      previous->second.kind == TaskChange::Kind::kLost) {
    change.previous_machine = previous->second.machine;
    pending_.erase(previous);
  }
  pending_.insert({index, std::move(change)});
}

ShardChanges::ChangesByIndex ShardChanges::extract_pending() { return std::exchange(pending_, {}); }

void ShardChanges::mark_sent(model::Revision shard_revision) {
  sent_ = std::exchange(pending_, {});
  sent_revision_ = shard_revision;
  send_state_ = SendState::kSent;
}

ShardChanges::ChangesByIndex ShardChanges::extract_sent() {
  send_state_ = SendState::kIdle;
  return std::exchange(sent_, {});
}

void ShardChanges::requeue_sent() {
  for (auto& change : extract_sent()) pending_.insert(change);
}

}  // namespace rooksill::changes
