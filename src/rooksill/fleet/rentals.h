// Rental requests under way.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "rooksill/fleet/capacity_limits.h"
#include "rooksill/fleet/cloud_client.h"
#include "rooksill/fleet/machine_lists.h"
#include "rooksill/fleet/offer.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/effects.h"

namespace rooksill::fleet {

// A request for machines of one offer.
struct RentalRequest {
  enum class State {
    kToSend,    // not sent yet, or to be sent again
    kInFlight,  // sent, and not answered yet
  };

  Offer offer;
  int count = 0;
  int partition = kAnyPartition;  // to which the machines go
  State state = State::kToSend;
  double next_try_at = 0;  // steady clock
  int failed_tries = 0;
};

// Each request has a name, unique over all terms. The cloud gives the same machines to every copy
// of a request with that name, so a request whose outcome is unknown is simply sent again.
class Rentals {
 public:
  Rentals(runtime::Context& context, CloudClient& cloud, MachineLists& lists,
          CapacityLimits& capacity_limits)
      : context_(context), cloud_(cloud), lists_(lists), capacity_limits_(capacity_limits) {}

  void start_term(uint64_t term);

  // Adds a request; what exceeds kMaxMachinesPerRental is left out. `reason` is for the log.
  void request(const Offer& offer, int count, const std::string& reason,
               int partition = kAnyPartition);
  // Sends what is due, as far as the rate limit allows.
  void send();

  // All requests without a result, by name.
  const std::map<std::string, RentalRequest>& unresolved() const { return requests_; }
  // Whether a machine of the offer that appears may belong to a request without an answer.
  bool has_request_in_flight(const Offer& offer) const;
  // Whether the offer was last requested less than so long ago.
  bool was_requested_within(const Offer& offer, double seconds) const;

 private:
  void on_response(const std::string& name, const runtime::CallDone& done);
  // False if the response does not name the machines.
  bool add_rented_machines(const RentalRequest& request, const runtime::CallDone& done);

  runtime::Context& context_;
  CloudClient& cloud_;
  MachineLists& lists_;
  CapacityLimits& capacity_limits_;
  uint64_t term_ = 0;
  uint64_t next_request_number_ = 1;
  std::map<std::string, RentalRequest> requests_;
  std::map<Offer, double> last_request_at_;  // steady clock; outlasts a term
};

}  // namespace rooksill::fleet
