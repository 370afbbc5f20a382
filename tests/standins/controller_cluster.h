// The controllers of a simulated deployment: the real deterministic cores, each as a process that
// can crash, freeze and come back.
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

enum class ControllerVersion {
  kFirst,    // knows neither upgrade records nor gangs; see first_version.h
  kCurrent,  // the code under test
};

// The settings a controller starts with, by its version.
struct ControllerSettings {
  rooksill::Settings first, current;
};

// Takes what the controllers send.
class EffectsHandler {
 public:
  virtual ~EffectsHandler() = default;
  virtual void on_peer_message(size_t from, const rooksill::runtime::PeerSend& message) = 0;
  virtual void on_call(size_t from, const rooksill::runtime::Call& call) = 0;
};

class ControllerCluster {
 public:
  using ResponseHandler = std::function<void(const HttpResponse&)>;

  ControllerCluster(Simulation& simulation, Network& network, bool verbose)
      : simulation_(simulation), network_(network), verbose_(verbose) {}

  // Starts one controller for each entry. `handler` outlives the cluster.
  void start(std::vector<ControllerSettings> settings, ControllerVersion version,
             EffectsHandler& handler);

  // Ends the process at once; it restarts after `down_s` with the version then set.
  void crash(size_t controller, double downtime_s);
  // The process stops executing until then, while its clocks run on and its sockets fill.
  void freeze_until(size_t controller, double time);
  // Takes effect at the next start.
  void set_version(size_t controller, ControllerVersion version);

  // Queues an input of the controller. Ignored while it is down.
  void deliver(size_t controller, rooksill::runtime::Command command);
  // Sends it a request. `on_answer` is called once: with the answer, or with status 0 after
  // `timeout_s` or when the process ends.
  void request(size_t controller, HttpRequest request, double timeout_s,
               const ResponseHandler& on_response);

  size_t size() const { return processes_.size(); }
  std::vector<std::string> labels() const;
  ControllerVersion version(size_t controller) const { return process(controller).version; }
  const std::string& label(size_t controller) const { return process(controller).label; }
  // Changes whenever the process ends or starts.
  uint64_t generation(size_t controller) const { return process(controller).generation; }
  // The first that believes to lead.
  std::optional<size_t> leader() const;
  // One that passes its health check. One draw, none if there is no such controller.
  std::optional<size_t> random_ready_controller();
  // Any, also one that is down. One draw.
  size_t random_controller() { return simulation_.random.index(processes_.size()); }
  uint64_t effects_digest() const { return effects_digest_.value(); }

 private:
  struct Process {
    std::string label;
    ControllerSettings settings;
    rooksill::Settings running_settings;                     // the core holds a reference to it
    std::unique_ptr<rooksill::controller::Controller> core;  // null while it is down
    ControllerVersion version = ControllerVersion::kCurrent;
    uint64_t generation = 0;
    std::vector<rooksill::runtime::Command> inbox;
    bool batch_scheduled = false;
    double frozen_until = 0;
    std::map<uint64_t, ResponseHandler> pending_requests;  // by request ID
    uint64_t next_request = 1;
  };

  Process& process(size_t controller) { return processes_[controller]; }
  const Process& process(size_t controller) const { return processes_[controller]; }
  void boot(size_t controller);
  void run_batch(size_t controller, uint64_t generation);
  void schedule_tick(size_t controller, uint64_t generation);
  void handle_effects(size_t controller);
  void print_log(const Process& from, const rooksill::runtime::Effects& effects) const;
  void deliver_request(size_t controller, uint64_t generation, HttpRequest request,
                         const ResponseHandler& on_response);

  Simulation& simulation_;
  Network& network_;
  bool verbose_;
  EffectsHandler* handler_ = nullptr;
  std::vector<Process> processes_;  // not resized after start(): cores refer to settings in it
  EffectsDigest effects_digest_;
};

}  // namespace standins
