// What was cancelled, between controllers: each numbers what it learns and passes it on. The others
// say how far they have it, and each knows up to which moment nothing that was told to a user can
// be unknown to it. The argument is in docs/safety.md.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "rooksill/membership/peers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::membership {

class Cancellations {
 public:
  Cancellations(runtime::Context& ctx, store::Replica& replica, Peers& peers)
      : ctx_(ctx), replica_(replica), peers_(peers) {}

  // Takes up what the replica has learned. Comes before anything is said to peers or users.
  void collect();
  // To those that lack some: at once what is new, and again what they have not confirmed.
  void tell();
  void fill(wire::ControllerHeartbeat& heartbeat) const;

  void heard(const std::string& label, const wire::Cancelled& message);
  void heard(const std::string& label, const wire::ControllerHeartbeat& heartbeat);

  // Every cancellation that any controller told a user before this moment, by our steady clock, is
  // in the replica.
  double known_at() const;

 private:
  // Of one peer's process; what it says is worth nothing for another process of the same node.
  struct Word {
    uint64_t incarnation = 0;
    double ready_at = -1;   // when it was first heard to know the state
    double sent_at = -1e9;  // by its clock, when it made the last heartbeat that came
    uint64_t said = 0;      // how many it had learned by then
    uint64_t got = 0;       // all up to here are known here
    std::deque<std::pair<double, uint64_t>> samples;  // (when it came, how many it said)
    uint64_t confirmed = 0;                           // how many of ours it has
    uint64_t told = 0;                                // how many of ours it was sent
    double next_tell = -1e9;  // when what it has not confirmed is sent again
  };
  Word& word_of(const std::string& label);

  runtime::Context& ctx_;
  store::Replica& replica_;
  Peers& peers_;
  std::deque<std::string> learned_;  // those numbered first_ and up
  uint64_t first_ = 1;
  bool was_synced_ = false;
  std::map<std::string, Word> words_;
  // By peer: all that it told a user before this moment is known. True whatever becomes of it.
  std::map<std::string, double> confirmed_at_;
};

}  // namespace rooksill::membership
