// The cloud's list of rented machines.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "rooksill/fleet/cloud_client.h"
#include "rooksill/fleet/machine_lists.h"
#include "rooksill/fleet/machine_returns.h"
#include "rooksill/fleet/offer.h"
#include "rooksill/fleet/rentals.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/effects.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/cloud_codec.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// Reads the cloud's list page by page and compares it with the partitions' lists. Machines in no
// partition's list, such as those of a request whose response was lost, are adopted, that is, added
// to a partition: they cost money whether they are used or not.
class CloudInventory {
 public:
  CloudInventory(runtime::Context& context, const store::Replica& replica, CloudClient& cloud,
                 MachineLists& lists, MachineReturns& returns, const Rentals& rentals)
      : context_(context),
        replica_(replica),
        cloud_(cloud),
        lists_(lists),
        returns_(returns),
        rentals_(rentals) {}

  // Restarts reading from the first page.
  void start_term();
  // Requests the next page if it is due.
  void refresh();
  // Returns whether the whole list has been read at least once in this term.
  bool is_complete() const { return is_complete_; }
  // Adopts a machine that sent a heartbeat to a controller but is in no list, unless it may belong
  // to a rental request in flight.
  void on_unassigned_machine(const wire::UnassignedMachine& report);
  // Returns the machine addresses received since the last call, ordered by machine, and clears
  // them.
  std::vector<wire::MachineAddress> extract_addresses();

 private:
  void on_response(const runtime::CallDone& done);
  void process_list();
  // Adopts or releases a machine of the cloud's list that is in no partition's list, once it has
  // been listed for long enough. `listed_since`: steady clock.
  void process_unexpected(const wire::ListedMachine& machine, double listed_since);

  runtime::Context& context_;
  const store::Replica& replica_;
  CloudClient& cloud_;
  MachineLists& lists_;
  MachineReturns& returns_;
  const Rentals& rentals_;
  bool request_in_flight_ = false;
  bool is_complete_ = false;
  double next_request_at_ = 0;                        // steady clock
  std::vector<wire::ListedMachine> listed_machines_;  // of the pages read so far
  // Name of the last of these machines, after which the next page starts; empty: no page read yet.
  std::string last_listed_name_;
  std::map<std::string, double> unexpected_since_;  // by machine, steady clock
  std::map<std::string, std::string> addresses_;    // by machine
};

}  // namespace rooksill::fleet
