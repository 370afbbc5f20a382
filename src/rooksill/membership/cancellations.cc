#include "rooksill/membership/cancellations.h"

#include <algorithm>

namespace rooksill::membership {

namespace {
// Of those that some peer has not confirmed, whatever the number of machines or jobs. A peer that
// lacks more than these confirms them once it has asked the state, and vouches for nothing before:
// a bound here costs time in an outage, never a cancellation.
constexpr size_t kKept = 4096;
constexpr size_t kPerMessage = 500;
constexpr size_t kSamples = 32;
constexpr double kAgainReports = 0.3;  // until what is not confirmed is sent again
}  // namespace

Cancellations::Word& Cancellations::word_of(const std::string& label) {
  Word& w = words_[label];
  const Peer* p = peers_.find(label);
  if (p != nullptr && p->incarnation != w.incarnation) {
    w = {};
    w.incarnation = p->incarnation;
  }
  return w;
}

void Cancellations::collect() {
  auto fresh = std::exchange(replica_.cancelled, {});
  // What the first listing brings was there before any peer hears that this process knows the
  // state; a peer that counts on our word has asked the state since.
  if (!std::exchange(was_synced_, replica_.synced)) return;
  for (auto& id : fresh) learned_.push_back(std::move(id));
  uint64_t needed = first_ + learned_.size();
  for (const auto& [label, p] : peers_.all())
    needed = std::min(needed, word_of(label).confirmed + 1);
  while (!learned_.empty() && (first_ < needed || learned_.size() > kKept)) {
    learned_.pop_front();
    ++first_;
  }
}

void Cancellations::tell() {
  const uint64_t count = first_ - 1 + learned_.size();
  const double again = kAgainReports * ctx_.settings.platform.report_s;
  for (const auto& [label, p] : peers_.all()) {
    Word& w = word_of(label);
    if (w.confirmed >= count || !peers_.heard(label)) continue;
    uint64_t from = std::max(w.told, w.confirmed) + 1;
    if (ctx_.now.steady >= w.next_tell) from = w.confirmed + 1;
    from = std::max(from, first_);
    if (from > count) continue;
    wire::Cancelled message;
    message.first = from;
    const auto at = learned_.begin() + static_cast<long>(from - first_);
    const size_t most = std::min<size_t>(kPerMessage, static_cast<size_t>(learned_.end() - at));
    message.jobs.assign(at, at + static_cast<long>(most));
    w.told = from + most - 1;
    w.next_tell = ctx_.now.steady + again;
    peers_.send(label, wire::PeerKind::kCancelled, wire::pack(message));
  }
}

void Cancellations::fill(wire::ControllerHeartbeat& heartbeat) const {
  heartbeat.sent_at = ctx_.now.steady;
  heartbeat.cancelled = first_ - 1 + learned_.size();
  for (const auto& [label, w] : words_) {
    if (w.incarnation == 0 || w.sent_at < -1) continue;
    heartbeat.heard.push_back({label, w.incarnation, w.got, w.sent_at});
  }
}

void Cancellations::heard(const std::string& label, const wire::Cancelled& message) {
  Word& w = word_of(label);
  // Acted on at once; the job's record follows by the watch.
  for (const auto& id : message.jobs)
    if (wire::valid_job_id(id)) replica_.record_cancelled(id);
  const uint64_t last = message.first + message.jobs.size() - 1;
  if (!message.jobs.empty() && message.first <= w.got + 1) w.got = std::max(w.got, last);
}

// A heartbeat is older than its arrival, by minutes if it was held up. It is later than the last of
// our own that it answers to, and that one's time is known by our clock.
void Cancellations::heard(const std::string& label, const wire::ControllerHeartbeat& heartbeat) {
  Word& w = word_of(label);
  const double now = ctx_.now.steady;
  w.sent_at = std::max(w.sent_at, heartbeat.sent_at);
  if (heartbeat.ready && w.ready_at < 0) w.ready_at = now;
  if (heartbeat.cancelled > w.said) {
    w.said = heartbeat.cancelled;
    if (w.samples.size() >= kSamples)
      w.samples.back() = {now, w.said};
    else
      w.samples.push_back({now, w.said});
  }
  // What it had learned when the state was asked is known from there.
  while (!w.samples.empty() && w.samples.front().first < replica_.synced_at) {
    w.got = std::max(w.got, w.samples.front().second);
    w.samples.pop_front();
  }
  for (const auto& h : heartbeat.heard) {
    if (h.label != ctx_.settings.platform.label || h.incarnation != ctx_.incarnation) continue;
    w.confirmed = std::max(w.confirmed, h.cancelled);
    // What a former process of this node told is known if the state was asked since it was gone.
    const bool former = w.ready_at < 0 || replica_.synced_at < w.ready_at;
    if (former || w.got < heartbeat.cancelled) continue;
    double& confirmed = confirmed_at_.try_emplace(label, -1e9).first->second;
    confirmed = std::max(confirmed, std::min(h.sent_at, now));
  }
}

double Cancellations::known_at() const {
  double all = ctx_.now.steady;
  for (const auto& [label, p] : peers_.all()) {
    auto it = confirmed_at_.find(label);
    all = std::min(all, it == confirmed_at_.end() ? -1e9 : it->second);
  }
  return std::max(all, replica_.synced_at);
}

}  // namespace rooksill::membership
