#include "rooksill/leader/election.h"

#include <algorithm>
#include <utility>

#include "rooksill/model/identifiers.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"
#include "rooksill/wire/store_protocol_codec.h"

namespace rooksill::leader {

namespace {
constexpr double kTrustedShareOfLease = 0.9;  // the rest covers the drift of clocks
constexpr double kRequestTimeout = 1;         // seconds
constexpr double kMinTtlMs = 100;
constexpr double kMaxTtlMs = 600000;
// Parts of the lease's time.
constexpr double kRenewalsPerTtl = 4;
constexpr double kRenewalRetriesPerTtl = 12;
constexpr double kCampaignsPerTtl = 5;        // attempts of one candidate
constexpr double kCampaignJitterPerTtl = 10;  // so that candidates do not collide each time
constexpr double kFirstCampaignJitterPerTtl = 20;
// Silences after which a leader that hears no other controller resigns.
constexpr double kIsolatedSilences = 2;
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

double Election::lease_ttl() const {
  return context_.settings.operators.leader_ttl_reports * context_.settings.platform.report_s;
}

bool Election::leader_key_is_ours() const {
  return replica_.leader.label == context_.settings.platform.label &&
         replica_.leader.incarnation == context_.incarnation;
}

bool Election::leading() const {
  return state_ == State::kLeading && context_.now.steady < valid_until_ && leader_key_is_ours() &&
         replica_.synced_revision >= replica_.leader.revision;
}

bool Election::leader_absent() const {
  return !leading() && !peers_.has_leader_message_within(peers_.unreachable_timeout_s() / 2);
}

void Election::tick() {
  if (first_tick_ == 0) first_tick_ = context_.now.steady;
  if (!replica_.synced) return;
  if (state_ == State::kLeading)
    keep_leading();
  else
    seek_leadership();
}

void Election::keep_leading() {
  const double now = context_.now.steady;
  if (now >= valid_until_ || !leader_key_is_ours()) return resign("lease ended");
  if (peers_.last_contact_at() > term_started_) heard_peer_ = true;
  // A leader that hears nobody may be cut off while its lease lasts; the others cannot know.
  if (heard_peer_ && now - peers_.last_contact_at() > kIsolatedSilences * peers_.unreachable_timeout_s()) {
    heard_peer_ = false;
    return resign("no other controller is heard");
  }
  if (!renewal_pending_ && now >= next_renewal_) renew();
}

void Election::seek_leadership() {
  const double ttl = lease_ttl();
  const double now = context_.now.steady;
  const bool has_leader = replica_.leader.revision != model::kNoRevision;
  // An earlier process of this controller is dead for certain: its key need not expire first. That
  // of any other controller must.
  const bool earlier_self = has_leader &&
                            replica_.leader.label == context_.settings.platform.label &&
                            replica_.leader.incarnation != context_.incarnation;
  if (has_leader && !earlier_self) {
    vacant_since_ = 0;
    return;
  }
  if (vacant_since_ == 0) {
    vacant_since_ = now;
    next_campaign_ = now + context_.uniform(0, ttl / kFirstCampaignJitterPerTtl);
  }
  // A controller that hears no other one gives those that hear each other time to elect a leader.
  const bool isolated =
      !peers_.labels().empty() && now - peers_.last_contact_at() > peers_.unreachable_timeout_s();
  if (isolated && now - vacant_since_ < ttl) return;
  if (state_ == State::kFollower && now >= next_campaign_) campaign();
}

void Election::campaign() {
  const LeaseRequest request{context_.now.steady, lease_ttl()};
  const int ttl_ms = static_cast<int>(std::clamp(request.ttl_s * 1000, kMinTtlMs, kMaxTtlMs));
  next_campaign_ = request.sent_at + request.ttl_s / kCampaignsPerTtl +
                   context_.uniform(0, request.ttl_s / kCampaignJitterPerTtl);
  const bool sent = client_.request(
      "POST", wire::kLeasesPath, wire::encode_lease_request(ttl_ms), kRequestTimeout,
      [this, request](const runtime::CallDone& answer) { on_lease_granted(answer, request); });
  if (sent) state_ = State::kCampaigning;
}

void Election::on_lease_granted(const runtime::CallDone& answer, const LeaseRequest& request) {
  const auto lease_id = wire::decode_new_lease(answer.body);
  const bool granted = answer.status == 200 && lease_id;
  const bool other_leads = replica_.leader.revision != model::kNoRevision &&
                           replica_.leader.label != context_.settings.platform.label;
  if (!granted || other_leads) {
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
        // Whatever became of the transaction: with the lease given back, the key goes as well.
        release_lease(lease_id);
        if (result.outcome == store::TransactionOutcome::kConflict)
          committer_.refresh({wire::kTermKey, wire::kLeaderKey}, [] {});
      });
  if (!sent) state_ = State::kFollower;
}

void Election::start_term(uint64_t term, uint64_t lease_id, const LeaseRequest& request) {
  state_ = State::kLeading;
  heard_peer_ = false;
  term_ = term;
  lease_id_ = lease_id;
  valid_until_ = request.sent_at + request.ttl_s * kTrustedShareOfLease;
  next_renewal_ = context_.now.steady + request.ttl_s / kRenewalsPerTtl;
  term_started_ = context_.now.steady;
  context_.info("leader", "leading in term {}", term);
  handlers_.on_start(term);
}

void Election::renew() {
  const LeaseRequest request{context_.now.steady, lease_ttl()};
  renewal_pending_ = client_.request(
      "POST", wire::lease_renewal_path(lease_id_), "", request.ttl_s / kRenewalsPerTtl,
      [this, request, lease_id = lease_id_](const runtime::CallDone& answer) {
        on_renewed(answer, request, lease_id);
      });
}

void Election::on_renewed(const runtime::CallDone& answer, const LeaseRequest& request,
                          uint64_t lease_id) {
  renewal_pending_ = false;
  if (state_ != State::kLeading || lease_id != lease_id_) return;
  const bool renewed = answer.status == 200;
  next_renewal_ =
      context_.now.steady + request.ttl_s / (renewed ? kRenewalsPerTtl : kRenewalRetriesPerTtl);
  if (renewed) valid_until_ = request.sent_at + request.ttl_s * kTrustedShareOfLease;
  if (answer.status == 404) resign("lease is gone");
}

void Election::resign(const std::string& reason) {
  context_.info("leader", "term {} ends here: {}", term_, reason);
  state_ = State::kFollower;
  renewal_pending_ = false;
  handlers_.on_end();
  release_lease(lease_id_);
  vacant_since_ = 0;
}

void Election::release_lease(uint64_t lease_id) {
  client_.request("DELETE", wire::lease_path(lease_id), "", kRequestTimeout,
                  [](const runtime::CallDone&) {});
}

}  // namespace rooksill::leader
