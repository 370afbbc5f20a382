// The controllers of a simulated deployment. Each is a process with the production controller core,
// which is deterministic, and can crash, freeze and restart.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rooksill/controller/controller.h"
#include "rooksill/settings/settings.h"
#include "standins/effects_digest.h"
#include "standins/http_message.h"
#include "standins/network.h"
#include "standins/simulation.h"

namespace standins {

// The version of rooksill that a controller runs.
enum class ControllerVersion {
  kFirst,    // predates upgrade records and gangs; see first_version.h
  kCurrent,  // the code under test
};

// The settings with which a controller starts, for each version.
struct ControllerSettings {
  rooksill::Settings first, current;
};

// Receives the messages and calls that controllers send. `from` is the index of the sender.
class EffectsHandler {
 public:
  virtual ~EffectsHandler() = default;
  // Called for each message to another controller.
  virtual void on_peer_message(size_t from, const rooksill::runtime::PeerSend& message) = 0;
  // Called for each call to the store, the cloud or a worker.
  virtual void on_call(size_t from, const rooksill::runtime::Call& call) = 0;
};

// Runs the controllers' batches and ticks as events of the simulation. Controllers are identified
// by their index in the settings passed to start().
class ControllerCluster {
 public:
  using ResponseHandler = std::function<void(const HttpResponse&)>;

  ControllerCluster(Simulation& simulation, Network& network, bool verbose)
      : simulation_(simulation), network_(network), verbose_(verbose) {}

  // Starts one controller for each entry. `handler` must outlive the cluster.
  void start(std::vector<ControllerSettings> settings, ControllerVersion version,
             EffectsHandler& handler);

  // Ends the process at once. It restarts after `downtime_s`, with the version that is set then.
  void crash(size_t controller, double downtime_s);
  // Stops the execution of the process until `time`. Its clocks continue and its inputs are queued,
  // as in the buffers of its sockets.
  void freeze_until(size_t controller, double time);
  // Sets the version with which the process runs from its next start on.
  void set_version(size_t controller, ControllerVersion version);

  // Queues an input for the controller. Inputs are dropped while it is down.
  void deliver(size_t controller, rooksill::runtime::Command command);
  // Sends the controller an HTTP request. `on_response` is called exactly once: with the response,
  // or with status 0 after `timeout_s` or when the process ends.
  void request(size_t controller, HttpRequest request, double timeout_s,
               const ResponseHandler& on_response);

  // Returns the number of controllers.
  size_t size() const { return processes_.size(); }
  // Returns the labels of all controllers, by index.
  std::vector<std::string> labels() const;
  // Returns the version that is set, which a running process uses from its next start on.
  ControllerVersion version(size_t controller) const { return process(controller).version; }
  // Returns the label of a controller.
  const std::string& label(size_t controller) const { return process(controller).label; }
  // Returns a number that increases each time the process ends or starts.
  uint64_t generation(size_t controller) const { return process(controller).generation; }
  // Returns the first controller that considers itself the leader, if any.
  std::optional<size_t> leader() const;
  // Returns a random controller that passes its health check. Uses one random number, or none if
  // there is no such controller.
  std::optional<size_t> random_ready_controller();
  // Returns a random controller, which may be down. Uses one random number.
  size_t random_controller() { return simulation_.random.index(processes_.size()); }
  // Returns the digest of all effects of the controllers so far; see EffectsDigest.
  uint64_t effects_digest() const { return effects_digest_.value(); }

 private:
  struct Process {
    std::string label;
    ControllerSettings settings;
    rooksill::Settings running_settings;                     // the core holds a reference to it
    std::unique_ptr<rooksill::controller::Controller> core;  // null while the process is down
    ControllerVersion version = ControllerVersion::kCurrent;
    uint64_t generation = 0;
    std::vector<rooksill::runtime::Command> inbox;
    bool is_batch_scheduled = false;
    double frozen_until = 0;
    std::map<uint64_t, ResponseHandler> pending_requests;  // by request ID
    uint64_t next_request = 1;
  };

  Process& process(size_t controller) { return processes_[controller]; }
  const Process& process(size_t controller) const { return processes_[controller]; }
  // Starts the process with its current version.
  void start_process(size_t controller);
  // Runs the queued inputs as one batch, unless the process has ended since they were queued.
  void run_batch(size_t controller, uint64_t generation);
  // Schedules the next periodic tick.
  void schedule_tick(size_t controller, uint64_t generation);
  // Delivers the responses, messages and calls of the last batch.
  void handle_effects(size_t controller);
  void print_log(const Process& from, const rooksill::runtime::Effects& effects) const;
  // Queues a request that has arrived, unless the process has ended since it was sent.
  void deliver_request(size_t controller, uint64_t generation, HttpRequest request,
                       const ResponseHandler& on_response);

  Simulation& simulation_;
  Network& network_;
  bool verbose_;
  EffectsHandler* handler_ = nullptr;
  // Not resized after start(), because cores hold references to the settings in it.
  std::vector<Process> processes_;
  EffectsDigest effects_digest_;
};

}  // namespace standins
