#include "standins/random_faults.h"

#include <algorithm>
#include <iterator>

namespace standins {

namespace {

// The random parameters of a fault. All are drawn for each fault, including those that its kind
// does not use, so that the kinds do not change the order of the draws.
struct Draw {
  double duration_s = 0;
  size_t controller = 0;
  CutMode mode = CutMode::kHold;
  double strength = 0;  // from 0 to 1; scales probabilities, delays and counts
  Link link = Link::kAll;

  int machine_count(int max_machines) const {
    return 1 + static_cast<int>(strength * max_machines);
  }
};

struct Target {
  Simulation& simulation;
  size_t controllers;
  FaultInjector& faults;
};

using FaultFunction = void (*)(const Target&, const Draw&);

void crash(const Target& target, const Draw& draw) {
  constexpr double kMaxDowntimeSeconds = 3;
  target.faults.crash(draw.controller, std::min(draw.duration_s, kMaxDowntimeSeconds));
}

void restart(const Target& target, const Draw& draw) { target.faults.crash(draw.controller, 0.1); }

void crash_all(const Target& target, const Draw&) {
  for (size_t i = 0; i < target.controllers; ++i)
    target.faults.crash(i, 1 + 0.2 * static_cast<double>(i));
}

void cut(const Target& target, const Draw& draw) {
  target.faults.cut(draw.controller, draw.link, draw.duration_s, draw.mode);
}

void refuse_store_requests(const Target& target, const Draw& draw) {
  target.faults.refuse_store_requests(draw.controller, draw.duration_s);
}

void store_outage(const Target& target, const Draw& draw) {
  target.faults.store_outage(draw.duration_s);
}

void cut_machines(const Target& target, const Draw& draw) {
  target.faults.cut_machines(draw.machine_count(2), draw.duration_s, draw.mode);
}

void hang_machines(const Target& target, const Draw& draw) {
  target.faults.hang_machines(draw.machine_count(2), draw.duration_s);
}

void lose_responses(const Target& target, const Draw& draw) {
  target.faults.lose_responses(0.1 + 0.4 * draw.strength, draw.duration_s);
}

void delay_requests(const Target& target, const Draw& draw) {
  target.faults.delay_requests(0.1 + 0.4 * draw.strength, 1 + 5 * draw.strength, draw.duration_s);
}

void reclaim_spot(const Target& target, const Draw& draw) {
  target.faults.reclaim_spot(0.6, draw.strength < 0.5 ? 0 : 3);
}

void lose_machine_inbound(const Target& target, const Draw& draw) {
  target.faults.lose_machine_inbound(draw.machine_count(2), 2 * draw.duration_s);
}

void duplicate_heartbeats(const Target& target, const Draw& draw) {
  target.faults.duplicate_heartbeats(0.2 + 0.5 * draw.strength, 4 * draw.duration_s,
                                     draw.duration_s);
}

void freeze(const Target& target, const Draw& draw) {
  target.faults.freeze(draw.controller, 1.5 * draw.duration_s);
}

void delay_transactions(const Target& target, const Draw& draw) {
  target.faults.delay_transactions(0.2 + 0.4 * draw.strength, 2 + 6 * draw.strength,
                                   draw.duration_s);
}

void slow_store(const Target& target, const Draw& draw) {
  target.faults.slow_store(0.2 + 0.8 * draw.strength, draw.duration_s);
}

void lose_machine_outbound(const Target& target, const Draw& draw) {
  target.faults.lose_machine_outbound(draw.machine_count(4), 2 * draw.duration_s);
}

void cancel_running_jobs(const Target& target, const Draw& draw) {
  target.faults.cancel_running_jobs(draw.machine_count(4),
                                    draw.strength < 0.5 ? 0 : draw.duration_s);
}

void cancel_on_completion(const Target& target, const Draw& draw) {
  target.faults.cancel_on_completion(0.5, draw.duration_s);
}

void send_unexpected_requests(const Target& target, const Draw& draw) {
  target.faults.send_unexpected_requests(draw.duration_s);
}

// The store refuses a controller, which then also loses its connections to peers. Jobs are
// cancelled through the other controllers, and a store outage follows, so that the first controller
// cannot learn of the cancellations.
void cancel_behind_refused_controller(const Target& target, const Draw& draw) {
  target.faults.refuse_store_requests(draw.controller, 2 + draw.duration_s);
  target.faults.cut(draw.controller, Link::kPeers, 0.2 + draw.strength, draw.mode);
  target.faults.cancel_running_jobs(2, 0);
  target.simulation.events.after(0.3 + draw.strength / 2,
                                 [&faults = target.faults, duration_s = draw.duration_s] {
                                   faults.store_outage(2 * duration_s);
                                 });
}

// Cuts a controller off from the store and its peers while it still reaches workers and users.
void isolate_from_store_and_peers(const Target& target, const Draw& draw) {
  target.faults.cut(draw.controller, Link::kStore, 2 * draw.duration_s, draw.mode);
  target.faults.cut(draw.controller, Link::kPeers, 2 * draw.duration_s, draw.mode);
  target.faults.cancel_running_jobs(2, 0);
}

// Each entry is equally likely. Changing the order or number changes the run of every seed.
constexpr FaultFunction kFaults[] = {
    crash,
    crash,
    restart,
    crash_all,
    cut,
    cut,
    cut,
    refuse_store_requests,
    store_outage,
    cut_machines,
    hang_machines,
    lose_responses,
    delay_requests,
    reclaim_spot,
    lose_machine_inbound,
    duplicate_heartbeats,
    freeze,
    delay_transactions,
    slow_store,
    lose_machine_outbound,
    cancel_running_jobs,
    cancel_on_completion,
    send_unexpected_requests,
    cancel_behind_refused_controller,
    isolate_from_store_and_peers,
};

constexpr Link kLinks[] = {Link::kStore, Link::kWorkers, Link::kPeers, Link::kAll};

}  // namespace

void schedule_random_faults(Simulation& simulation, size_t controllers, FaultInjector& faults,
                            double from, double to, int count) {
  constexpr double kMinDurationSeconds = 0.3, kMaxExtraDurationSeconds = 9, kHoldProbability = 0.6;
  Random& random = simulation.random;
  const Target target{simulation, controllers, faults};
  for (int i = 0; i < count; ++i) {
    const double at = from + random.uniform_unit() * (to - from);
    Draw draw;
    draw.duration_s = kMinDurationSeconds + random.uniform_unit() * kMaxExtraDurationSeconds;
    draw.controller = random.index(controllers);
    draw.mode = random.bernoulli(kHoldProbability) ? CutMode::kHold : CutMode::kDrop;
    draw.strength = random.uniform_unit();
    const FaultFunction inject = kFaults[random.index(std::size(kFaults))];
    draw.link = kLinks[random.index(std::size(kLinks))];
    simulation.events.at(at, [target, inject, draw] { inject(target, draw); });
  }
}

void schedule_random_duplicates(Simulation& simulation, FaultInjector& faults, double lease_s,
                                double from, double to, int count) {
  constexpr double kMinDurationSeconds = 3, kMaxDurationSeconds = 20;
  constexpr double kMinProbability = 0.1, kMaxProbability = 0.6;
  constexpr double kMinDelayLeases = 0.5, kMaxDelayLeases = 4;
  Random& random = simulation.random;
  for (int i = 0; i < count; ++i) {
    const double at = random.uniform(from, to);
    const double duration_s = random.uniform(kMinDurationSeconds, kMaxDurationSeconds);
    const auto link = static_cast<RequestLink>(random.index(kRequestLinkCount));
    const double probability = random.uniform(kMinProbability, kMaxProbability);
    const double max_delay_s = lease_s * random.uniform(kMinDelayLeases, kMaxDelayLeases);
    simulation.events.at(at, [&faults, link, probability, max_delay_s, duration_s] {
      faults.duplicate_requests(link, probability, max_delay_s, duration_s);
    });
  }
}

}  // namespace standins
