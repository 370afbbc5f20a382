#include "rooksill/membership/cancellations.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "rooksill/wire/names.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::membership {

namespace {
// Cancellations kept for peers that have not confirmed them, whatever the number of machines or
// jobs. A peer that lacks more than these confirms them once it has asked the store, and its word
// does not count before: this bound costs time in an outage, never a cancellation.
constexpr size_t kMaxKept = 4096;
constexpr size_t kMaxPerMessage = 500;
constexpr size_t kMaxSamples = 32;
constexpr double kResendReports = 0.3;  // report periods until what is not confirmed is sent again
// Heartbeats of an older form carry a far earlier time.
constexpr double kEarliestSentAt = -1;
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
  auto learned = std::exchange(replica_.changes.cancelled, {});
  // What the first listing brings was there before any peer hears that this process knows the
  // store; a peer that counts on our word has asked the store since.
  if (!std::exchange(was_synced_, replica_.synced)) return;
  for (auto& job : learned) learned_.push_back(std::move(job));
  uint64_t needed = first_ + learned_.size();
  for (const auto& label : peers_.labels())
    needed = std::min(needed, progress_of(label).confirmed + 1);
  while (!learned_.empty() && (first_ < needed || learned_.size() > kMaxKept)) {
    learned_.pop_front();
    ++first_;
  }
}

void Cancellations::send_updates() {
  for (const auto& label : peers_.labels()) {
    PeerProgress& progress = progress_of(label);
    if (progress.confirmed >= learned_count() || !peers_.heard(label)) continue;
    const bool resend = context_.now.steady >= progress.next_resend;
    const uint64_t up_to =
        resend ? progress.confirmed : std::max(progress.sent, progress.confirmed);
    const uint64_t first = std::max(up_to + 1, first_);
    if (first <= learned_count()) send_from(first, label, progress);
  }
}

void Cancellations::send_from(uint64_t first, const std::string& label, PeerProgress& progress) {
  const auto begin = learned_.begin() + static_cast<std::ptrdiff_t>(first - first_);
  const size_t count = std::min(kMaxPerMessage, static_cast<size_t>(learned_.end() - begin));
  wire::CancelledJobs message;
  message.first = first;
  message.jobs.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
  progress.sent = first + count - 1;
  progress.next_resend = context_.now.steady + kResendReports * context_.settings.platform.report_s;
  peers_.send(label, wire::PeerMessageKind::kCancelledJobs, wire::pack(message));
}

void Cancellations::add_to_heartbeat(wire::ControllerHeartbeat& heartbeat) const {
  heartbeat.sent_at = context_.now.steady;
  heartbeat.cancellation_count = learned_count();
  for (const auto& [label, progress] : progress_) {
    if (progress.incarnation == 0 || progress.last_sent_at < kEarliestSentAt) continue;
    heartbeat.cancellation_acks.push_back(
        {label, progress.incarnation, progress.received, progress.last_sent_at});
  }
}

void Cancellations::receive(const std::string& label, const wire::CancelledJobs& message) {
  PeerProgress& progress = progress_of(label);
  // Acted on at once; the job's record follows by the watch.
  for (const auto& job : message.jobs)
    if (wire::is_valid_job_id(job)) replica_.record_cancelled(job);
  const uint64_t last = message.first + message.jobs.size() - 1;
  const bool without_gap = message.first <= progress.received + 1;
  if (!message.jobs.empty() && without_gap) progress.received = std::max(progress.received, last);
}

void Cancellations::receive(const std::string& label, const wire::ControllerHeartbeat& heartbeat) {
  PeerProgress& progress = progress_of(label);
  progress.last_sent_at = std::max(progress.last_sent_at, heartbeat.sent_at);
  if (heartbeat.is_ready && !progress.ready_at) progress.ready_at = context_.now.steady;
  record_count(heartbeat.cancellation_count, progress);
  credit_what_store_covers(progress);
  for (const wire::CancellationAck& ack : heartbeat.cancellation_acks)
    if (ack.label == context_.settings.platform.label && ack.incarnation == context_.incarnation)
      confirm(label, ack, heartbeat.cancellation_count, progress);
}

void Cancellations::record_count(uint64_t count, PeerProgress& progress) const {
  if (count <= progress.announced) return;
  progress.announced = count;
  const CountSample sample{context_.now.steady, count};
  if (progress.samples.size() >= kMaxSamples)
    progress.samples.back() = sample;
  else
    progress.samples.push_back(sample);
}

// What a peer had learned when the store was asked is known from the store's answer.
void Cancellations::credit_what_store_covers(PeerProgress& progress) const {
  while (!progress.samples.empty() && progress.samples.front().received_at < replica_.synced_at) {
    progress.received = std::max(progress.received, progress.samples.front().count);
    progress.samples.pop_front();
  }
}

// A heartbeat is older than its arrival, by minutes if it was held up. It is later than the last of
// our own that it answers to, and that one's time is known by our clock.
void Cancellations::confirm(const std::string& label, const wire::CancellationAck& ack,
                            uint64_t announced, PeerProgress& progress) {
  progress.confirmed = std::max(progress.confirmed, ack.cancellation_count);
  // What an earlier process of this peer confirmed to users is known only if the store was asked
  // since that process was gone.
  const bool earlier_process_covered =
      progress.ready_at && replica_.synced_at >= *progress.ready_at;
  if (!earlier_process_covered || progress.received < announced) return;
  double& confirmed_at = confirmed_at_.try_emplace(label, kNever).first->second;
  confirmed_at = std::max(confirmed_at, std::min(ack.sent_at, context_.now.steady));
}

double Cancellations::known_at() const {
  double confirmed_by_all = context_.now.steady;
  for (const auto& label : peers_.labels()) {
    auto confirmed = confirmed_at_.find(label);
    confirmed_by_all =
        std::min(confirmed_by_all, confirmed == confirmed_at_.end() ? kNever : confirmed->second);
  }
  return std::max(confirmed_by_all, replica_.synced_at);
}

}  // namespace rooksill::membership
