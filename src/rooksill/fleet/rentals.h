// Rental requests without a result.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "rooksill/fleet/capacity_limits.h"
#include "rooksill/fleet/cloud_client.h"
#include "rooksill/fleet/machine_lists.h"
#include "rooksill/fleet/machine_returns.h"
#include "rooksill/fleet/offer.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/effects.h"

namespace rooksill::fleet {

// A request for machines of one offer.
struct RentalRequest {
  enum class State {
    kToSend,    // not sent yet, or to be retried
    kInFlight,  // sent, without a response
  };

  Offer offer;
  int count = 0;                  // machines
  int partition = kAnyPartition;  // to which the machines are assigned
  State state = State::kToSend;
  double next_try_at = 0;  // steady clock
  int failed_tries = 0;
};

// Sends rental requests and adds the rented machines to the partitions' lists. Each request has a
// name that is unique over all terms. Requests are idempotent: the cloud returns the same machines
// for every request with the same name, so a request whose outcome is unknown is retried.
class Rentals {
 public:
  Rentals(runtime::Context& context, CloudClient& cloud, MachineLists& lists,
          const MachineReturns& returns, CapacityLimits& capacity_limits)
      : context_(context),
        cloud_(cloud),
        lists_(lists),
        returns_(returns),
        capacity_limits_(capacity_limits) {}

  // Drops the requests of a former term.
  void start_term(uint64_t term);

  // Queues a request for `count` machines, or for kMaxMachinesPerRental if that is fewer; the
  // others are not requested. Has no effect if `count` is not positive. `reason` is for the log.
  void request(const Offer& offer, int count, const std::string& reason,
               int partition = kAnyPartition);
  // Sends the requests that are due, as far as the rate limit allows.
  void send();

  // Returns all requests without a result, by name.
  const std::map<std::string, RentalRequest>& unresolved() const { return requests_; }
  // Returns whether a request for the offer awaits its response, so that a new machine of the offer
  // may belong to it.
  bool has_request_in_flight(const Offer& offer) const;
  // Returns whether the offer was requested within the last `seconds`.
  bool was_requested_within(const Offer& offer, double seconds) const;

 private:
  void on_response(const std::string& name, const runtime::CallDone& done);
  // Adds the machines named by the response to the partitions' lists, except those that have been
  // adopted or released in the meantime. Returns false if the response is not a valid list of
  // machines.
  bool add_rented_machines(const std::string& name, const RentalRequest& request,
                           const runtime::CallDone& done);

  runtime::Context& context_;
  CloudClient& cloud_;
  MachineLists& lists_;
  const MachineReturns& returns_;
  CapacityLimits& capacity_limits_;
  uint64_t term_ = 0;
  uint64_t next_request_number_ = 1;
  std::map<std::string, RentalRequest> requests_;
  std::map<Offer, double> last_request_at_;  // steady clock; kept across terms
};

}  // namespace rooksill::fleet
