// Election of the leader. Whoever writes the leader's key under a lease of the key-value store
// leads until that lease ends.
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

// What this process does when a term of its own begins and ends.
struct TermHandlers {
  std::function<void(uint64_t term)> on_start;
  std::function<void()> on_end;
};

// Owns this process's part in the election: it stands as a candidate while nobody leads, renews its
// lease while it leads, and resigns when the lease is lost or no other controller is heard. At most
// one process leads at a time: the leader's key and the term counter are written in one transaction
// that has both as preconditions, and a leader counts on less than its lease's time. Times are
// seconds of the steady clock.
class Election {
 public:
  Election(runtime::Context& context, const store::Replica& replica, store::Client& client,
           store::Committer& committer, const membership::Peers& peers, TermHandlers handlers);

  // Takes whatever step is due: campaign, renew, resign.
  void tick();

  // Whether this process leads now, as far as its lease and its replica say.
  bool is_leading() const;
  // No leader has been heard for a while: owners of partitions go on by themselves.
  bool is_leader_unreachable() const;
  // The term in which this process leads; 0 while it does not.
  uint64_t term() const { return is_leading() ? term_ : 0; }
  // When this process's latest term began.
  double term_started_at() const { return term_started_at_; }
  // When this process's first tick was; 0 before.
  double first_tick_at() const { return first_tick_at_; }

 private:
  enum class State { kFollower, kCampaigning, kLeading };
  // A lease counts from the moment at which it was asked for.
  struct LeaseRequest {
    double sent_at = 0;
    double ttl_s = 0;
  };

  double lease_ttl() const;
  bool leader_key_is_ours() const;
  void maintain_leadership();
  void seek_leadership();
  void campaign();
  void on_lease_granted(const runtime::CallDone& response, const LeaseRequest& request);
  void write_leader_key(uint64_t lease_id, const LeaseRequest& request);
  void start_term(uint64_t term, uint64_t lease_id, const LeaseRequest& request);
  void renew();
  void on_renewed(const runtime::CallDone& response, const LeaseRequest& request, uint64_t lease_id);
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
  bool has_received_from_peer_ = false;  // in this term
  uint64_t term_ = 0;
  uint64_t lease_id_ = 0;
  double lease_valid_until_ = 0;  // this process counts on its lease until then
  double next_renewal_at_ = 0;
  double next_campaign_at_ = 0;
  double vacant_since_ = 0;  // when the leader's key was first seen to be missing; 0: it is there
  double term_started_at_ = 0;
  double first_tick_at_ = 0;
};

}  // namespace rooksill::leader
