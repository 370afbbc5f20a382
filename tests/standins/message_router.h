// Carries what the controllers send over the simulated network to its receivers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>

#include "standins/cloud.h"
#include "standins/controller_cluster.h"
#include "standins/first_version_store.h"
#include "standins/key_value_store.h"
#include "standins/machine_fleet.h"
#include "standins/network.h"
#include "standins/simulation.h"

namespace standins {

class MessageRouter : public EffectsHandler {
 public:
  MessageRouter(Simulation& simulation, Network& network, ControllerCluster& cluster,
                MachineFleet& fleet, KeyValueStore& store, Cloud& cloud)
      : simulation_(simulation),
        network_(network),
        cluster_(cluster),
        fleet_(fleet),
        store_(store),
        first_version_store_(store),
        cloud_(cloud) {}

  void on_peer_message(size_t from, const rooksill::runtime::PeerSend& message) override;
  void on_call(size_t from, const rooksill::runtime::Call& call) override;

  // While refused, the store answers 503 to every request of this controller.
  void set_refused_by_store(size_t controller, bool refused);

  uint64_t peer_bytes() const { return peer_bytes_; }  // between controllers, so far

 private:
  using ResponseHandler = std::function<void(const HttpResponse&)>;

  // Until every controller has the present version, none may send what the first does not know.
  void check_known_to_first_version(size_t from, const std::string& message);
  ResponseHandler respond_once(size_t from, uint64_t call_id);
  void execute(size_t from, const rooksill::runtime::Call& call, const ResponseHandler& on_response);
  void execute_at_store(size_t from, const rooksill::runtime::Call& call,
                        const ResponseHandler& on_response);

  Simulation& simulation_;
  Network& network_;
  ControllerCluster& cluster_;
  MachineFleet& fleet_;
  KeyValueStore& store_;
  FirstVersionStore first_version_store_;
  Cloud& cloud_;
  std::set<size_t> refused_by_store_;
  uint64_t peer_bytes_ = 0;
};

}  // namespace standins
