#include "rooksill/membership/cancellations.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "rooksill/wire/names.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::membership {

namespace {
// Limit on the cancellations kept for peers that have not acknowledged them, independent of the
// number of machines and jobs. A peer that misses older ones acknowledges them only after it has
// synchronized with the store, and is not relied on before. The limit can therefore delay progress
// in an outage but loses no cancellation.
constexpr size_t kMaxKeptCancellations = 4096;
constexpr size_t kMaxCancellationsPerMessage = 500;
constexpr size_t kMaxCountSamples = 32;
// In worker heartbeat intervals (PlatformSettings::report_s).
constexpr double kResendIntervalHeartbeats = 0.3;  // until unacknowledged ones are resent
// Heartbeats of an older version lack the field `sent_at`, whose default is far earlier than this.
constexpr double kMinSentAtS = -1;
}  // namespace

Cancellations::PeerProgress& Cancellations::progress_of(const std::string& label) {
  PeerProgress& progress = progress_[label];
  const Peer* peer = peers_.find(label);
  if (peer != nullptr && peer->incarnation != progress.incarnation) {
    progress = {};
    progress.incarnation = peer->incarnation;
  }
  return progress;
}

void Cancellations::collect() {
  auto new_jobs = std::exchange(replica_.changes.cancelled, {});
  // Cancellations from the first listing need no number: they were in the store before any peer
  // learns that this process is ready, and a peer relies on this process's counts only if it has
  // synchronized with the store since then.
  if (!std::exchange(was_synced_, replica_.synced)) return;
  for (auto& job : new_jobs) kept_jobs_.push_back(std::move(job));
  uint64_t first_needed = first_kept_ + kept_jobs_.size();
  for (const auto& label : peers_.labels())
    first_needed = std::min(first_needed, progress_of(label).acknowledged_up_to + 1);
  while (!kept_jobs_.empty() &&
         (first_kept_ < first_needed || kept_jobs_.size() > kMaxKeptCancellations)) {
    kept_jobs_.pop_front();
    ++first_kept_;
  }
}

void Cancellations::send_updates() {
  for (const auto& label : peers_.labels()) {
    PeerProgress& progress = progress_of(label);
    if (progress.acknowledged_up_to >= learned_count() || !peers_.is_reachable(label)) continue;
    const bool should_resend = context_.now.steady >= progress.next_resend_at;
    const uint64_t skipped_up_to = should_resend
                                       ? progress.acknowledged_up_to
                                       : std::max(progress.sent_up_to, progress.acknowledged_up_to);
    const uint64_t first = std::max(skipped_up_to + 1, first_kept_);
    if (first <= learned_count()) send_from(first, label, progress);
  }
}

void Cancellations::send_from(uint64_t first, const std::string& label, PeerProgress& progress) {
  const auto begin = kept_jobs_.begin() + static_cast<std::ptrdiff_t>(first - first_kept_);
  const size_t count =
      std::min(kMaxCancellationsPerMessage, static_cast<size_t>(kept_jobs_.end() - begin));
  wire::CancelledJobs message;
  message.first = first;
  message.jobs.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
  progress.sent_up_to = first + count - 1;
  progress.next_resend_at =
      context_.now.steady + kResendIntervalHeartbeats * context_.settings.platform.report_s;
  peers_.send(label, wire::PeerMessageKind::kCancelledJobs, wire::pack(message));
}

void Cancellations::add_to_heartbeat(wire::ControllerHeartbeat& heartbeat) const {
  heartbeat.sent_at = context_.now.steady;
  heartbeat.cancellation_count = learned_count();
  for (const auto& [label, progress] : progress_) {
    if (progress.incarnation == 0 || progress.last_heartbeat_sent_at < kMinSentAtS) continue;
    heartbeat.cancellation_acks.push_back(
        {label, progress.incarnation, progress.received_up_to, progress.last_heartbeat_sent_at});
  }
}

void Cancellations::receive(const std::string& label, const wire::CancelledJobs& message) {
  PeerProgress& progress = progress_of(label);
  // Takes effect immediately; the job's record arrives later through the watch.
  for (const auto& job : message.jobs)
    if (wire::is_valid_job_id(job)) replica_.mark_cancelled(job);
  const uint64_t last = message.first + message.jobs.size() - 1;
  const bool without_gap = message.first <= progress.received_up_to + 1;
  if (!message.jobs.empty() && without_gap)
    progress.received_up_to = std::max(progress.received_up_to, last);
}

void Cancellations::receive(const std::string& label, const wire::ControllerHeartbeat& heartbeat) {
  PeerProgress& progress = progress_of(label);
  progress.last_heartbeat_sent_at = std::max(progress.last_heartbeat_sent_at, heartbeat.sent_at);
  if (heartbeat.is_ready && !progress.ready_at) progress.ready_at = context_.now.steady;
  record_announced_count(heartbeat.cancellation_count, progress);
  apply_store_sync(progress);
  for (const wire::CancellationAck& ack : heartbeat.cancellation_acks)
    if (ack.label == context_.settings.platform.label && ack.incarnation == context_.incarnation)
      process_ack(label, ack, heartbeat.cancellation_count, progress);
}

void Cancellations::record_announced_count(uint64_t count, PeerProgress& progress) const {
  if (count <= progress.announced_count) return;
  progress.announced_count = count;
  const CountSample sample{context_.now.steady, count};
  if (progress.count_samples.size() >= kMaxCountSamples)
    progress.count_samples.back() = sample;
  else
    progress.count_samples.push_back(sample);
}

// Cancellations that a peer announced before the replica was last synchronized were in the store by
// then, so the replica has them.
void Cancellations::apply_store_sync(PeerProgress& progress) const {
  while (!progress.count_samples.empty() &&
         progress.count_samples.front().received_at < replica_.synced_at) {
    progress.received_up_to =
        std::max(progress.received_up_to, progress.count_samples.front().count);
    progress.count_samples.pop_front();
  }
}

// A heartbeat may arrive minutes after it was sent, so its arrival does not show from when its
// contents are. But it was sent after the heartbeat of this process that it acknowledges, whose
// time is known by this process's clock, so that time is used.
void Cancellations::process_ack(const std::string& label, const wire::CancellationAck& ack,
                                uint64_t announced_count, PeerProgress& progress) {
  progress.acknowledged_up_to = std::max(progress.acknowledged_up_to, ack.cancellation_count);
  // Cancellations confirmed by an earlier process of this peer are known only if the replica was
  // synchronized after that process had ended, that is, since its successor is ready.
  const bool earlier_process_covered =
      progress.ready_at && replica_.synced_at >= *progress.ready_at;
  if (!earlier_process_covered || progress.received_up_to < announced_count) return;
  double& confirmed_until = confirmed_until_.try_emplace(label, kNever).first->second;
  confirmed_until = std::max(confirmed_until, std::min(ack.sent_at, context_.now.steady));
}

double Cancellations::complete_until() const {
  double confirmed_by_all = context_.now.steady;
  for (const auto& label : peers_.labels()) {
    auto confirmed = confirmed_until_.find(label);
    confirmed_by_all = std::min(confirmed_by_all,
                                confirmed == confirmed_until_.end() ? kNever : confirmed->second);
  }
  return std::max(confirmed_by_all, replica_.synced_at);
}

}  // namespace rooksill::membership
