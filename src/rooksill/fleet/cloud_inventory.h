// What machines the cloud says there are.
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

// Reads the cloud's list page by page and compares it with the partitions' lists. Machines that
// nobody expected, such as those of a request whose response was lost, are adopted: they cost money
// whether they are used or not.
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

  void start_term();
  // Asks for the next page if that is due.
  void refresh();
  // Whether a whole list has been read in this term.
  bool complete() const { return complete_; }
  // Adopts a machine that reported to a controller without being in any list, unless it is likely
  // that of a rental under way.
  void on_unassigned_machine(const wire::UnassignedMachine& report);
  // Addresses learned since the last call, by machine name.
  std::vector<wire::MachineAddress> take_addresses();

 private:
  void on_response(const runtime::CallDone& done);
  void process_list();
  // A listed machine that is in no partition's list.
  void process_unexpected(const wire::ListedMachine& machine, double listed_since);

  runtime::Context& context_;
  const store::Replica& replica_;
  CloudClient& cloud_;
  MachineLists& lists_;
  MachineReturns& returns_;
  const Rentals& rentals_;
  bool request_under_way_ = false;
  bool complete_ = false;
  double next_request_ = 0;                  // steady clock
  std::vector<wire::ListedMachine> listed_;  // the pages read so far
  std::string last_read_;                    // the last machine of these; empty: none is read
  std::map<std::string, double> unexpected_since_;  // by machine, steady clock
  std::map<std::string, std::string> addresses_;    // by machine
};

}  // namespace rooksill::fleet
