#include "standins/controller_cluster.h"

#include <algorithm>
#include <iostream>

namespace standins {

using rooksill::controller::Controller;
using rooksill::runtime::Command;
using rooksill::runtime::Effects;
using rooksill::runtime::PeerDisconnected;
using rooksill::runtime::Reply;
using rooksill::runtime::Request;
using rooksill::runtime::Tick;
using rooksill::runtime::Time;

namespace {

constexpr double kBatchDelaySeconds = 0.0005;  // from an input to the batch that contains it
// Until a request to a controller that is down fails.
constexpr double kConnectFailureSeconds = 0.001;
// The steady clocks of controllers are unrelated, and their wall clocks differ slightly.
constexpr double kWallClockStartSeconds = 1.7e9, kSteadyClockOffsetSeconds = 100,
                 kWallClockOffsetSeconds = 0.03;

Time clocks_of(size_t controller, double now) {
  const auto position = static_cast<double>(controller);
  return {now + kSteadyClockOffsetSeconds * position,
          kWallClockStartSeconds + now + kWallClockOffsetSeconds * position};
}

}  // namespace

void ControllerCluster::start(std::vector<ControllerSettings> settings, ControllerVersion version,
                              EffectsHandler& handler) {
  handler_ = &handler;
  for (auto& entry : settings) {
    Process started;
    started.label = entry.current.platform.label;
    started.settings = std::move(entry);
    started.version = version;
    processes_.push_back(std::move(started));
  }
  for (size_t i = 0; i < processes_.size(); ++i) start_process(i);
}

void ControllerCluster::start_process(size_t controller) {
  Process& proc = process(controller);
  ++proc.generation;
  proc.inbox.clear();
  proc.is_batch_scheduled = false;
  proc.running_settings =
      proc.version == ControllerVersion::kFirst ? proc.settings.first : proc.settings.current;
  proc.core = std::make_unique<Controller>(proc.running_settings, simulation_.random.next(),
                                           kWallClockStartSeconds + simulation_.now(), verbose_);
  deliver(controller, Tick{});
}

void ControllerCluster::crash(size_t controller, double downtime_s) {
  Process& proc = process(controller);
  ++proc.generation;
  proc.core.reset();
  proc.inbox.clear();
  proc.is_batch_scheduled = false;
  const auto pending_requests = std::exchange(proc.pending_requests, {});
  for (const auto& [id, on_response] : pending_requests) on_response({});
  for (size_t i = 0; i < processes_.size(); ++i)
    if (i != controller) deliver(i, PeerDisconnected{proc.label});
  simulation_.events.after(downtime_s, [this, controller, generation = proc.generation] {
    if (process(controller).generation == generation) start_process(controller);
  });
}

void ControllerCluster::freeze_until(size_t controller, double time) {
  process(controller).frozen_until = time;
}

void ControllerCluster::set_version(size_t controller, ControllerVersion version) {
  process(controller).version = version;
}

void ControllerCluster::deliver(size_t controller, Command command) {
  Process& proc = process(controller);
  if (!proc.core) return;
  proc.inbox.push_back(std::move(command));
  if (proc.is_batch_scheduled) return;
  proc.is_batch_scheduled = true;
  simulation_.events.after(kBatchDelaySeconds, [this, controller, generation = proc.generation] {
    run_batch(controller, generation);
  });
}

void ControllerCluster::run_batch(size_t controller, uint64_t generation) {
  Process& proc = process(controller);
  if (!proc.core || proc.generation != generation) return;
  if (proc.frozen_until > simulation_.now()) {  // the process is frozen; its inputs stay queued
    simulation_.events.at(proc.frozen_until,
                          [this, controller, generation] { run_batch(controller, generation); });
    return;
  }
  proc.is_batch_scheduled = false;
  const std::vector<Command> batch = std::exchange(proc.inbox, {});
  proc.core->run(batch, clocks_of(controller, simulation_.now()));
  handle_effects(controller);
  const bool ticked = std::any_of(batch.begin(), batch.end(), [](const Command& command) {
    return std::holds_alternative<Tick>(command);
  });
  if (ticked) schedule_tick(controller, generation);
}

void ControllerCluster::schedule_tick(size_t controller, uint64_t generation) {
  simulation_.events.after(Controller::kTickIntervalS, [this, controller, generation] {
    if (process(controller).generation == generation) deliver(controller, Tick{});
  });
}

void ControllerCluster::handle_effects(size_t controller) {
  Process& proc = process(controller);
  const Effects effects = std::move(proc.core->effects());
  proc.core->effects().clear();
  effects_digest_.add(simulation_.now(), proc.label, effects);
  if (verbose_) print_log(proc, effects);
  for (const Reply& reply : effects.replies) {
    auto asked = proc.pending_requests.extract(reply.request);
    if (!asked.empty()) asked.mapped()({reply.status, reply.body, reply.retry_after_s});
  }
  for (const auto& message : effects.peer_messages) handler_->on_peer_message(controller, message);
  for (const auto& call : effects.calls) handler_->on_call(controller, call);
}

void ControllerCluster::print_log(const Process& from, const Effects& effects) const {
  for (const auto& line : effects.log)
    std::cerr << simulation_.now() << " " << from.label << " " << line.component << ": "
              << line.text << "\n";
}

void ControllerCluster::request(size_t controller, HttpRequest request, double timeout_s,
                                const ResponseHandler& on_response) {
  auto has_responded = std::make_shared<bool>(false);
  const ResponseHandler respond_once = [has_responded, on_response](const HttpResponse& response) {
    if (std::exchange(*has_responded, true)) return;
    on_response(response);
  };
  if (!process(controller).core) {
    simulation_.events.after(kConnectFailureSeconds, [respond_once] { respond_once({}); });
    return;
  }
  simulation_.events.after(timeout_s, [respond_once] { respond_once({}); });
  simulation_.events.after(
      network_.draw_latency(),
      [this, controller, generation = generation(controller), request = std::move(request),
       respond_once] { deliver_request(controller, generation, request, respond_once); });
}

void ControllerCluster::deliver_request(size_t controller, uint64_t generation, HttpRequest request,
                                        const ResponseHandler& on_response) {
  Process& proc = process(controller);
  if (proc.generation != generation || !proc.core) return on_response({});
  const uint64_t id = proc.next_request++;
  proc.pending_requests[id] = [this, on_response](const HttpResponse& response) {
    simulation_.events.after(network_.draw_latency(),
                             [on_response, response] { on_response(response); });
  };
  deliver(controller, Request{id, std::move(request.method), std::move(request.target),
                              std::move(request.body)});
}

std::vector<std::string> ControllerCluster::labels() const {
  std::vector<std::string> labels;
  for (const auto& proc : processes_) labels.push_back(proc.label);
  return labels;
}

std::optional<size_t> ControllerCluster::leader() const {
  for (size_t i = 0; i < processes_.size(); ++i)
    if (process(i).core && process(i).core->is_leading()) return i;
  return std::nullopt;
}

std::optional<size_t> ControllerCluster::random_ready_controller() {
  std::vector<size_t> ready;
  for (size_t i = 0; i < processes_.size(); ++i)
    if (process(i).core && process(i).core->is_ready()) ready.push_back(i);
  if (ready.empty()) return std::nullopt;
  return ready[simulation_.random.index(ready.size())];
}

}  // namespace standins
