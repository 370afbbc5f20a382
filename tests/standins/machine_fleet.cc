#include "standins/machine_fleet.h"

#include <algorithm>

namespace standins {

using rooksill::runtime::Call;

namespace {

constexpr double kHeartbeatTimeout = 4;    // s that a worker waits for an answer
constexpr double kConnectFailure = 0.001;  // s until a worker sees that it cannot connect
constexpr double kHangPollInterval = 0.1;  // s between looks whether a machine goes on

void ignore(const HttpAnswer&) {}

}  // namespace

void MachineFleet::step() {
  for (const auto& name : std::exchange(cloud_.booted, {}))
    if (const CloudMachine& machine = cloud_.machines[name]; !machine.gone) start_worker(machine);
  for (const auto& name : std::exchange(cloud_.ended, {})) {
    Worker* worker = find(name);
    if (worker == nullptr) continue;
    worker->kill();
    network_.remove_machine(name);
  }
  for (auto& [name, worker] : workers_) {
    if (worker->dead) continue;
    if (worker->reclaim_at && simulation_.now() >= *worker->reclaim_at) {
      cloud_.reclaim(name);
      continue;
    }
    worker->advance(simulation_.now());
    if (worker->wants_to_send_heartbeat(simulation_.now())) send_heartbeat(*worker);
  }
}

void MachineFleet::start_worker(const CloudMachine& machine) {
  const auto type =
      std::find_if(cloud_.types.begin(), cloud_.types.end(),
                   [&](const TypeSpec& candidate) { return candidate.name == machine.type; });
  auto worker = std::make_unique<Worker>(machine, *type, times_, environment_);
  worker->controllers = cluster_.labels();
  worker->current_controller = cluster_.random_any();
  network_.add_machine(machine.name, machine.zone);
  workers_.emplace(machine.name, std::move(worker));
}

void MachineFleet::send_heartbeat(Worker& worker) {
  const std::string body = worker.make_heartbeat(simulation_.now());
  const size_t controller = worker.current_controller;
  const std::string name = worker.name;
  const auto on_answer = [this, name, sent_at = simulation_.now(),
                          agent_epoch = worker.agent_epoch](const HttpAnswer& answer) {
    find(name)->on_heartbeat_answer(simulation_.now(), answer, sent_at, agent_epoch);
  };
  if (simulation_.random.happens(network_.message_faults().duplicate_heartbeats.chance))
    send_duplicate(body);
  if (network_.machine(name).outbound_lost_until > simulation_.now())
    return simulation_.events.after(kConnectFailure, [on_answer] { on_answer({}); });

  const HeartbeatRoute route = network_.route_heartbeat(name, controller);
  if (route.fate == HeartbeatRoute::Fate::kDelivered)
    return send_to(controller, body, [this, name, controller, on_answer](const HttpAnswer& answer) {
      on_answer(network_.loses_answers(name, controller) ? HttpAnswer{} : answer);
    });
  simulation_.events.after(kHeartbeatTimeout, [on_answer] { on_answer({}); });
  // Held packets arrive after the cut, when the worker has long given up.
  if (route.fate == HeartbeatRoute::Fate::kHeld)
    simulation_.events.at(route.held_until + network_.latency(),
                          [this, controller, body] { send_to(controller, body, ignore); });
}

void MachineFleet::send_duplicate(const std::string& body) {
  const size_t controller = cluster_.random_any();
  const double delay =
      network_.message_faults().duplicate_heartbeats.up_to_s * simulation_.random.unit();
  simulation_.events.after(delay, [this, controller, body] { send_to(controller, body, ignore); });
}

void MachineFleet::send_to(size_t controller, const std::string& body,
                           const ControllerCluster::AnswerHandler& on_answer) {
  cluster_.request(controller, {"POST", "/agent/beat", body}, kHeartbeatTimeout, on_answer);
}

void MachineFleet::handle_call(const std::string& machine, const Call& call,
                               const AnswerHandler& on_answer) {
  Worker* worker = find(machine);
  if (worker == nullptr || worker->dead) return;
  if (worker->hanging) return handle_after_hang(machine, call);
  worker->advance(simulation_.now());
  on_answer(worker->handle(simulation_.now(), {call.method, call.path, call.body}));
}

void MachineFleet::handle_after_hang(const std::string& machine, const Call& call) {
  simulation_.events.after(kHangPollInterval,
                           [this, machine, call] { handle_call(machine, call, ignore); });
}

void MachineFleet::hang(Worker& worker, double for_s) {
  worker.hanging = true;
  simulation_.events.after(for_s, [&worker] { worker.hanging = false; });
}

Worker* MachineFleet::find(const std::string& machine) {
  auto it = workers_.find(machine);
  return it == workers_.end() ? nullptr : it->second.get();
}

int MachineFleet::alive() const {
  return static_cast<int>(std::count_if(workers_.begin(), workers_.end(),
                                        [](const auto& entry) { return !entry.second->dead; }));
}

uint64_t MachineFleet::max_agent_epoch() const {
  uint64_t highest = 0;
  for (const auto& [name, worker] : workers_)
    if (!worker->dead) highest = std::max(highest, worker->agent_epoch);
  return highest;
}

}  // namespace standins
