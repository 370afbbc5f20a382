// The machines that run: workers from the cloud's boot until it ends them, and their heartbeats.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "rooksill/runtime/effects.h"
#include "standins/cloud.h"
#include "standins/controller_cluster.h"
#include "standins/network.h"
#include "standins/simulation.h"
#include "standins/worker.h"

namespace standins {

class MachineFleet {
 public:
  using ResponseHandler = std::function<void(const HttpResponse&)>;

  MachineFleet(Simulation& simulation, Network& network, Cloud& cloud, ControllerCluster& cluster,
               WorkerEnvironment& environment, const WorkerTimes& times)
      : simulation_(simulation),
        network_(network),
        cloud_(cloud),
        cluster_(cluster),
        environment_(environment),
        times_(times) {}

  // Starts workers on machines that have booted, ends those that the cloud took, and lets the rest
  // work on up to the present time.
  void step();

  // A controller's call arrives at the machine. A machine that hangs executes it when it goes on,
  // long after the sender gave up; one that is gone never answers.
  void handle_call(const std::string& machine, const rooksill::runtime::Call& call,
                   const ResponseHandler& on_response);

  // The machine hangs for so long: it executes and sends nothing, while its lease runs out.
  void hang(Worker& worker, double duration_s);

  // All that ever booted, by name; some are dead.
  const std::map<std::string, std::unique_ptr<Worker>>& workers() const { return workers_; }
  Worker* find(const std::string& machine);
  int alive_count() const;
  // The highest of a machine that is alive. Each epoch but the first began when a lease expired.
  uint64_t max_agent_epoch() const;

 private:
  void start_worker(const CloudMachine& machine);
  void send_heartbeat(Worker& worker);
  void send_duplicate(const std::string& body);
  void send_to(size_t controller, const std::string& body,
               const ControllerCluster::ResponseHandler& on_response);
  void handle_after_hang(const std::string& machine, const rooksill::runtime::Call& call);

  Simulation& simulation_;
  Network& network_;
  Cloud& cloud_;
  ControllerCluster& cluster_;
  WorkerEnvironment& environment_;
  WorkerTimes times_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
};

}  // namespace standins
