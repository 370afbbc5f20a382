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

constexpr double kBatchDelay = 0.0005;     // s from an input to the batch that contains it
constexpr double kConnectFailure = 0.001;  // s until a request to a controller that is down fails
// Controllers' steady clocks have nothing in common, and their wall clocks differ a little.
constexpr double kWallClockStart = 1.7e9, kSteadyClockOffset = 100, kWallClockOffset = 0.03;

Time clocks_of(size_t controller, double now) {
  const auto position = static_cast<double>(controller);
  return {now + kSteadyClockOffset * position, kWallClockStart + now + kWallClockOffset * position};
}

}  // namespace

void ControllerCluster::start(std::vector<ControllerSettings> settings, ControllerVersion version,
                              EffectsHandler& handler) {
  handler_ = &handler;
  for (auto& entry : settings) {
    Process started;
    started.label = entry.present.platform.label;
    started.settings = std::move(entry);
    started.version = version;
    processes_.push_back(std::move(started));
  }
  for (size_t i = 0; i < processes_.size(); ++i) boot(i);
}

void ControllerCluster::boot(size_t controller) {
  Process& p = process(controller);
  ++p.generation;
  p.inbox.clear();
  p.batch_scheduled = false;
  p.running_settings =
      p.version == ControllerVersion::kFirst ? p.settings.first : p.settings.present;
  p.core = std::make_unique<Controller>(p.running_settings, simulation_.random.next(),
                                        kWallClockStart + simulation_.now(), verbose_);
  deliver(controller, Tick{});
}

void ControllerCluster::crash(size_t controller, double down_s) {
  Process& p = process(controller);
  ++p.generation;
  p.core.reset();
  p.inbox.clear();
  p.batch_scheduled = false;
  const auto unanswered = std::exchange(p.unanswered, {});
  for (const auto& [id, on_answer] : unanswered) on_answer({});
  for (size_t i = 0; i < processes_.size(); ++i)
    if (i != controller) deliver(i, PeerDisconnected{p.label});
  simulation_.events.after(down_s, [this, controller, generation = p.generation] {
    if (process(controller).generation == generation) boot(controller);
  });
}

void ControllerCluster::freeze_until(size_t controller, double time) {
  process(controller).frozen_until = time;
}

void ControllerCluster::set_version(size_t controller, ControllerVersion version) {
  process(controller).version = version;
}

void ControllerCluster::deliver(size_t controller, Command command) {
  Process& p = process(controller);
  if (!p.core) return;
  p.inbox.push_back(std::move(command));
  if (p.batch_scheduled) return;
  p.batch_scheduled = true;
  simulation_.events.after(kBatchDelay, [this, controller, generation = p.generation] {
    run_batch(controller, generation);
  });
}

void ControllerCluster::run_batch(size_t controller, uint64_t generation) {
  Process& p = process(controller);
  if (!p.core || p.generation != generation) return;
  if (p.frozen_until > simulation_.now()) {  // its input stays in its sockets meanwhile
    simulation_.events.at(p.frozen_until,
                          [this, controller, generation] { run_batch(controller, generation); });
    return;
  }
  p.batch_scheduled = false;
  const std::vector<Command> batch = std::exchange(p.inbox, {});
  p.core->run(batch, clocks_of(controller, simulation_.now()));
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
  Process& p = process(controller);
  const Effects effects = std::move(p.core->effects());
  p.core->effects().clear();
  effects_digest_.add(simulation_.now(), p.label, effects);
  if (verbose_) print_log(p, effects);
  for (const Reply& reply : effects.replies) {
    auto asked = p.unanswered.extract(reply.request);
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
                                const AnswerHandler& on_answer) {
  auto answered = std::make_shared<bool>(false);
  const AnswerHandler answer_once = [answered, on_answer](const HttpAnswer& answer) {
    if (std::exchange(*answered, true)) return;
    on_answer(answer);
  };
  if (!process(controller).core) {
    simulation_.events.after(kConnectFailure, [answer_once] { answer_once({}); });
    return;
  }
  simulation_.events.after(timeout_s, [answer_once] { answer_once({}); });
  simulation_.events.after(
      network_.latency(),
      [this, controller, generation = generation(controller), request = std::move(request),
       answer_once] { hand_over_request(controller, generation, request, answer_once); });
}

void ControllerCluster::hand_over_request(size_t controller, uint64_t generation,
                                          HttpRequest request, const AnswerHandler& on_answer) {
  Process& p = process(controller);
  if (p.generation != generation || !p.core) return on_answer({});
  const uint64_t id = p.next_request++;
  p.unanswered[id] = [this, on_answer](const HttpAnswer& answer) {
    simulation_.events.after(network_.latency(), [on_answer, answer] { on_answer(answer); });
  };
  deliver(controller, Request{id, std::move(request.method), std::move(request.target),
                              std::move(request.body)});
}

std::vector<std::string> ControllerCluster::labels() const {
  std::vector<std::string> labels;
  for (const auto& p : processes_) labels.push_back(p.label);
  return labels;
}

std::optional<size_t> ControllerCluster::leader() const {
  for (size_t i = 0; i < processes_.size(); ++i)
    if (process(i).core && process(i).core->is_leading()) return i;
  return std::nullopt;
}

std::optional<size_t> ControllerCluster::random_ready() {
  std::vector<size_t> ready;
  for (size_t i = 0; i < processes_.size(); ++i)
    if (process(i).core && process(i).core->is_ready()) ready.push_back(i);
  if (ready.empty()) return std::nullopt;
  return ready[simulation_.random.index(ready.size())];
}

}  // namespace standins
