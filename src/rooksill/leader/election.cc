#include "rooksill/leader/election.h"

#include <algorithm>
#include <utility>

#include "rooksill/model/identifiers.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"
#include "rooksill/wire/store_protocol_codec.h"

namespace rooksill::leader {

namespace {
constexpr double kUsableLeaseRatio = 0.9;  // the rest allows for clock drift
constexpr double kRequestTimeoutSeconds = 1;
constexpr double kMinLeaseTtlMs = 100;
constexpr double kMaxLeaseTtlMs = 600000;
// Intervals, as divisors of the lease's TTL.
constexpr double kRenewalsPerTtl = 4;
constexpr double kRenewalRetriesPerTtl = 12;
constexpr double kCampaignsPerTtl = 5;             // attempts of one candidate per TTL
constexpr double kCampaignJitterPerTtl = 10;       // keeps candidates from colliding repeatedly
constexpr double kFirstCampaignJitterPerTtl = 20;  // after the leader key has disappeared
// A leader that receives no message from any other controller for this many peer timeouts resigns.
constexpr double kIsolationPeerTimeouts = 2;
}  // namespace

Election::Election(runtime::Context& context, const store::Replica& replica, store::Client& client,
                   store::Committer& committer, const membership::Peers& peers,
                   TermHandlers handlers)
    : context_(context),
      replica_(replica),
      client_(client),
      committer_(committer),
      peers_(peers),
      handlers_(std::move(handlers)) {}

double Election::lease_ttl_s() const {
  return context_.settings.operators.leader_ttl_reports * context_.settings.platform.report_s;
}

bool Election::holds_leader_key() const {
  return replica_.leader.label == context_.settings.platform.label &&
         replica_.leader.incarnation == context_.incarnation;
}

bool Election::is_leading() const {
  return state_ == State::kLeading && context_.now.steady < lease_valid_until_ &&
         holds_leader_key() && replica_.synced_revision >= replica_.leader.revision;
}

bool Election::is_leader_unreachable() const {
  return !is_leading() && !peers_.has_leader_message_within(peers_.unreachable_timeout_s() / 2);
}

void Election::tick() {
  if (first_tick_at_ == 0) first_tick_at_ = context_.now.steady;
  if (!replica_.synced) return;
  if (state_ == State::kLeading)
    maintain_leadership();
  else
    seek_leadership();
}

void Election::maintain_leadership() {
  const double now = context_.now.steady;
  if (now >= lease_valid_until_ || !holds_leader_key())
    return resign("its lease expired or another process holds the leader key");
  if (peers_.last_contact_at() > term_started_at_) has_received_from_peer_ = true;
  // A leader that receives no messages may be isolated from the other controllers while its lease
  // is still valid, and the others cannot detect that.
  if (has_received_from_peer_ &&
      now - peers_.last_contact_at() > kIsolationPeerTimeouts * peers_.unreachable_timeout_s()) {
    has_received_from_peer_ = false;
    return resign("all other controllers are unreachable");
  }
  if (!is_renewal_pending_ && now >= next_renewal_at_) renew();
}

void Election::seek_leadership() {
  const double ttl_s = lease_ttl_s();
  const double now = context_.now.steady;
  const bool has_leader = replica_.leader.revision != model::kNoRevision;
  // An earlier process of this controller is known to have ended, so its key may be replaced before
  // its lease expires. The key of any other controller may not.
  const bool is_key_of_earlier_process =
      has_leader && replica_.leader.label == context_.settings.platform.label &&
      replica_.leader.incarnation != context_.incarnation;
  if (has_leader && !is_key_of_earlier_process) {
    vacant_since_ = 0;
    return;
  }
  if (vacant_since_ == 0) {
    vacant_since_ = now;
    next_campaign_at_ = now + context_.uniform(0, ttl_s / kFirstCampaignJitterPerTtl);
  }
  // An isolated controller waits for one TTL, so that controllers that can reach each other elect a
  // leader first.
  const bool is_isolated =
      !peers_.labels().empty() && now - peers_.last_contact_at() > peers_.unreachable_timeout_s();
  if (is_isolated && now - vacant_since_ < ttl_s) return;
  if (state_ == State::kFollower && now >= next_campaign_at_) campaign();
}

void Election::campaign() {
  const LeaseRequest request{context_.now.steady, lease_ttl_s()};
  const int ttl_ms =
      static_cast<int>(std::clamp(request.ttl_s * 1000, kMinLeaseTtlMs, kMaxLeaseTtlMs));
  next_campaign_at_ = request.sent_at + request.ttl_s / kCampaignsPerTtl +
                      context_.uniform(0, request.ttl_s / kCampaignJitterPerTtl);
  const bool sent = client_.request(
      "POST", wire::kLeasesPath, wire::encode_lease_request(ttl_ms), kRequestTimeoutSeconds,
      [this, request](const runtime::CallDone& response) { on_lease_granted(response, request); });
  if (sent) state_ = State::kCampaigning;
}

void Election::on_lease_granted(const runtime::CallDone& response, const LeaseRequest& request) {
  const auto lease_id = wire::decode_new_lease(response.body);
  const bool is_granted = response.status == 200 && lease_id;
  const bool has_other_leader = replica_.leader.revision != model::kNoRevision &&
                                replica_.leader.label != context_.settings.platform.label;
  if (!is_granted || has_other_leader) {
    state_ = State::kFollower;
    return;
  }
  write_leader_key(*lease_id, request);
}

void Election::write_leader_key(uint64_t lease_id, const LeaseRequest& request) {
  const uint64_t term = replica_.term + 1;
  const model::Leadership leader{model::kNoRevision, context_.settings.platform.label,
                                 context_.incarnation, term};
  const bool sent = committer_.commit(
      {{wire::kLeaderKey, replica_.leader.revision}, {wire::kTermKey, replica_.term_revision}},
      {{wire::kLeaderKey, wire::encode_leadership(leader), lease_id},
       {wire::kTermKey, wire::encode_term(term), 0}},
      [this, lease_id, term, request](const store::TransactionResult& result) {
        state_ = State::kFollower;
        if (result.outcome == store::TransactionOutcome::kApplied)
          return start_term(term, lease_id, request);
        // Even if the transaction was applied, releasing the lease deletes the leader key.
        release_lease(lease_id);
        if (result.outcome == store::TransactionOutcome::kConflict)
          committer_.refresh({wire::kTermKey, wire::kLeaderKey}, [] {});
      });
  if (!sent) state_ = State::kFollower;
}

void Election::start_term(uint64_t term, uint64_t lease_id, const LeaseRequest& request) {
  state_ = State::kLeading;
  has_received_from_peer_ = false;
  term_ = term;
  lease_id_ = lease_id;
  lease_valid_until_ = request.sent_at + request.ttl_s * kUsableLeaseRatio;
  next_renewal_at_ = context_.now.steady + request.ttl_s / kRenewalsPerTtl;
  term_started_at_ = context_.now.steady;
  context_.info("leader", "became leader in term {}", term);
  handlers_.on_start(term);
}

void Election::renew() {
  const LeaseRequest request{context_.now.steady, lease_ttl_s()};
  is_renewal_pending_ = client_.request(
      "POST", wire::lease_renewal_path(lease_id_), "", request.ttl_s / kRenewalsPerTtl,
      [this, request, lease_id = lease_id_](const runtime::CallDone& response) {
        on_renewed(response, request, lease_id);
      });
}

void Election::on_renewed(const runtime::CallDone& response, const LeaseRequest& request,
                          uint64_t lease_id) {
  is_renewal_pending_ = false;
  if (state_ != State::kLeading || lease_id != lease_id_) return;
  const bool is_renewed = response.status == 200;
  next_renewal_at_ =
      context_.now.steady + request.ttl_s / (is_renewed ? kRenewalsPerTtl : kRenewalRetriesPerTtl);
  if (is_renewed) lease_valid_until_ = request.sent_at + request.ttl_s * kUsableLeaseRatio;
  if (response.status == 404) resign("the store no longer has its lease");
}

void Election::resign(const std::string& reason) {
  context_.info("leader", "resigned from term {}: {}", term_, reason);
  state_ = State::kFollower;
  is_renewal_pending_ = false;
  handlers_.on_end();
  release_lease(lease_id_);
  vacant_since_ = 0;
}

void Election::release_lease(uint64_t lease_id) {
  client_.request("DELETE", wire::lease_path(lease_id), "", kRequestTimeoutSeconds,
                  [](const runtime::CallDone&) {});
}

}  // namespace rooksill::leader
