// The changes of one shard's tasks that the store does not have yet.
#pragma once

#include <cstdint>
#include <map>

#include "rooksill/changes/task_change.h"
#include "rooksill/model/identifiers.h"

namespace rooksill::changes {

// Changes wait until they are sent in one transaction, and stay `sent` until its outcome is
// certain. Meanwhile new ones may wait beside them; those are not sent before that.
class ShardChanges {
 public:
  using ChangesByIndex = std::map<uint32_t, TaskChange>;  // by the task's index in the shard

  enum class SendState {
    kIdle,      // nothing was sent, or what was sent has a certain outcome
    kSent,         // a transaction has no answer yet
    kReadingBack,  // it failed or may have failed: the keys it concerns are being read
  };

  // The change of a task that is sent, or else the one that waits; nullptr if there is none.
  const TaskChange* find(uint32_t index) const;
  const ChangesByIndex& pending() const { return pending_; }
  const ChangesByIndex& sent() const { return sent_; }

  // Whether changes were sent whose outcome is not certain.
  bool is_in_flight() const { return send_state_ != SendState::kIdle; }
  // The shard's revision that the sent changes rest on: none of them can be applied any more once
  // it has changed.
  model::Revision sent_revision() const { return sent_revision_; }
  // When the oldest of the waiting changes came, in seconds of the steady clock.
  double pending_since() const { return pending_since_; }

  // Adds a change that waits. A placement after a loss that still waits takes its place and records
  // both. Any other task that has a change waiting keeps that one.
  void add(uint32_t index, TaskChange change, double now);
  // Removes a change that waits. Returns the position after it.
  ChangesByIndex::const_iterator remove_pending(ChangesByIndex::const_iterator position) {
    return pending_.erase(position);
  }
  ChangesByIndex extract_pending();

  void mark_sent(model::Revision shard_revision);
  void mark_reading_back() { send_state_ = SendState::kReadingBack; }
  // The outcome is certain: removes what was sent.
  ChangesByIndex extract_sent();
  // What was sent waits again, except where a newer change waits already.
  void requeue_sent();

 private:
  ChangesByIndex pending_;
  ChangesByIndex sent_;
  SendState send_state_ = SendState::kIdle;
  model::Revision sent_revision_ = model::kNoRevision;
  double pending_since_ = 0;
};

}  // namespace rooksill::changes
