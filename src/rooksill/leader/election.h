// Leader election. The controller that writes the leader key under a lease of the key-value store
// leads until that lease expires.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "rooksill/membership/peers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/effects.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::leader {

// Callbacks that run when a term of this process begins and ends.
struct TermHandlers {
  std::function<void(uint64_t term)> on_start;
  std::function<void()> on_end;
};

// Runs this process's side of the election: it campaigns while there is no leader, renews its lease
// while it leads, and resigns when the lease is lost or all other controllers are unreachable. At
// most one process leads at a time, because the leader key and the term counter are written in one
// transaction with preconditions on both, and because a leader relies on its lease for less than
// the lease's TTL. Times are seconds of the steady clock.
class Election {
 public:
  Election(runtime::Context& context, const store::Replica& replica, store::Client& client,
           store::Committer& committer, const membership::Peers& peers, TermHandlers handlers);

  // Campaigns, renews the lease or resigns if that is due.
  void tick();

  // Returns whether this process leads now, according to its lease and its replica of the store.
  bool is_leading() const;
  // Returns whether this process does not lead and has received no message from a leader for half
  // the peer timeout. Partition owners then place work without a leader.
  bool is_leader_unreachable() const;
  // Returns the term in which this process leads; 0 if it does not lead.
  uint64_t term() const { return is_leading() ? term_ : 0; }
  // Returns when the latest term of this process began; 0 if it has not led yet.
  double term_started_at() const { return term_started_at_; }
  // Returns the time of the first tick of this process; 0 before it.
  double first_tick_at() const { return first_tick_at_; }

 private:
  enum class State { kFollower, kCampaigning, kLeading };
  // A request for a lease or for its renewal. The TTL is counted from the moment the request was
  // sent, which is never later than the store's own start of the lease.
  struct LeaseRequest {
    double sent_at = 0;
    double ttl_s = 0;
  };

  double lease_ttl_s() const;
  bool holds_leader_key() const;
  void maintain_leadership();
  void seek_leadership();
  void campaign();
  void on_lease_granted(const runtime::CallDone& response, const LeaseRequest& request);
  void write_leader_key(uint64_t lease_id, const LeaseRequest& request);
  void start_term(uint64_t term, uint64_t lease_id, const LeaseRequest& request);
  void renew();
  void on_renewed(const runtime::CallDone& response, const LeaseRequest& request,
                  uint64_t lease_id);
  void resign(const std::string& reason);
  void release_lease(uint64_t lease_id);

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Client& client_;
  store::Committer& committer_;
  const membership::Peers& peers_;
  const TermHandlers handlers_;

  State state_ = State::kFollower;
  bool is_renewal_pending_ = false;
  bool has_received_from_peer_ = false;  // any other controller, in this term
  uint64_t term_ = 0;
  uint64_t lease_id_ = 0;
  double lease_valid_until_ = 0;  // this process does not rely on its lease after that
  double next_renewal_at_ = 0;
  double next_campaign_at_ = 0;
  double vacant_since_ = 0;  // when the leader key was first seen to be absent; 0: it is present
  double term_started_at_ = 0;
  double first_tick_at_ = 0;
};

}  // namespace rooksill::leader
