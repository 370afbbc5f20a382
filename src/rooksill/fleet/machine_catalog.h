// The cloud's catalog of machine types.
#pragma once

#include <vector>

#include "rooksill/fleet/cloud_client.h"
#include "rooksill/model/machine.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/effects.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::fleet {

// Copies the catalog into the store, from which all controllers read it. Only the leader writes:
// each transaction has the leader key as a precondition.
class MachineCatalog {
 public:
  MachineCatalog(runtime::Context& context, const store::Replica& replica,
                 store::Committer& committer, CloudClient& cloud)
      : context_(context), replica_(replica), committer_(committer), cloud_(cloud) {}

  // Makes a refresh due.
  void start_term();
  // Requests the catalog from the cloud if a refresh is due.
  void refresh();

 private:
  void on_response(const runtime::CallDone& done);
  void store_types(const std::vector<model::MachineType>& types);
  std::vector<store::Write> changed_types(const std::vector<model::MachineType>& types) const;

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Committer& committer_;
  CloudClient& cloud_;
  bool request_in_flight_ = false;
  double next_request_at_ = 0;  // steady clock
};

}  // namespace rooksill::fleet
