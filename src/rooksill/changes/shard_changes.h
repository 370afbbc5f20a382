// The changes of one shard's tasks that are not in the store yet.
#pragma once

#include <cstdint>
#include <map>

#include "rooksill/changes/task_change.h"
#include "rooksill/model/identifiers.h"

namespace rooksill::changes {

// Changes are pending until they are sent in one transaction, and then `sent` until the outcome of
// the transaction is certain. New changes may become pending meanwhile; they are not sent before
// that outcome is certain.
class ShardChanges {
 public:
  using ChangesByIndex = std::map<uint32_t, TaskChange>;  // by the task's index in the shard

  // The state of the last transaction with changes of this shard.
  enum class SendState {
    kIdle,         // nothing was sent, or the outcome of what was sent is certain
    kSent,         // the transaction has no response yet
    kReadingBack,  // the transaction failed or may have failed: its keys are being read
  };

  // Returns the sent change of a task, or else its pending change; nullptr if there is none.
  const TaskChange* find(uint32_t index) const;
  // Returns the changes that have not been sent.
  const ChangesByIndex& pending() const { return pending_; }
  // Returns the changes that were sent and whose outcome is not certain.
  const ChangesByIndex& sent() const { return sent_; }

  // Returns whether changes were sent whose outcome is not certain.
  bool is_in_flight() const { return send_state_ != SendState::kIdle; }
  // Returns the shard's revision that the sent changes require. Once the shard has another
  // revision, they can no longer be applied.
  model::Revision sent_revision() const { return sent_revision_; }
  // Returns when the oldest pending change was added, in seconds of the steady clock.
  double pending_since() const { return pending_since_; }

  // Adds a pending change. A placement replaces a pending loss of the same task and records both.
  // In all other cases a task that has a pending change keeps that one.
  void add(uint32_t index, TaskChange change, double now);
  // Removes a pending change. Returns the position after it.
  ChangesByIndex::const_iterator remove_pending(ChangesByIndex::const_iterator position) {
    return pending_.erase(position);
  }
  // Removes and returns all pending changes.
  ChangesByIndex extract_pending();

  // Marks all pending changes as sent in a transaction that requires this revision of the shard.
  void mark_sent(model::Revision shard_revision);
  // Records that the keys of the transaction are being read to find out its outcome.
  void mark_reading_back() { send_state_ = SendState::kReadingBack; }
  // Removes and returns the sent changes, once their outcome is certain.
  ChangesByIndex extract_sent();
  // Makes the sent changes pending again, except for tasks that have a newer pending change.
  void requeue_sent();

 private:
  ChangesByIndex pending_;
  ChangesByIndex sent_;
  SendState send_state_ = SendState::kIdle;
  model::Revision sent_revision_ = model::kNoRevision;
  double pending_since_ = 0;
};

}  // namespace rooksill::changes
