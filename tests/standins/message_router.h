// Routes messages and calls of the controllers over the simulated network to their receivers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "standins/cloud.h"
#include "standins/controller_cluster.h"
#include "standins/first_version_store.h"
#include "standins/key_value_store.h"
#include "standins/machine_fleet.h"
#include "standins/network.h"
#include "standins/simulation.h"

namespace standins {

// Receives the effects of the controllers and delivers them to other controllers, workers, the
// store and the cloud at the time, and with the faults, that the network determines.
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

  // Delivers a message to another controller, unless the network drops it.
  void on_peer_message(size_t from, const rooksill::runtime::PeerSend& message) override;
  // Executes a call at its target and returns the response to the caller. Reports status 0 after
  // the call's timeout. A request that was carried out and answered may be executed a second time.
  void on_call(size_t from, const rooksill::runtime::Call& call) override;

  // Sets whether the store responds 503 to every request of this controller.
  void set_refused_by_store(size_t controller, bool refused);

  // Returns the number of bytes sent between controllers so far.
  uint64_t peer_bytes() const { return peer_bytes_; }

 private:
  using ResponseHandler = std::function<void(const HttpResponse&)>;

  // Adds a violation if a message has a format that the first version cannot read although not
  // every controller has the current version.
  void check_known_to_first_version(size_t from, const std::string& message);
  // Returns a handler that delivers the first response to the process that made the call.
  ResponseHandler respond_once(size_t from, uint64_t call_id);
  void deliver_peer_message(size_t to, const std::string& bytes);
  // Executes a call that was carried out again after a delay, if the network draws a copy of it.
  // Nobody receives the second response.
  void duplicate(size_t from, const rooksill::runtime::Call& call);
  // Executes the call at its target, which may respond later or not at all.
  void execute(size_t from, const rooksill::runtime::Call& call,
               const ResponseHandler& on_response);
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
