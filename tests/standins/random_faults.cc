#include "standins/random_faults.h"

#include <algorithm>
#include <iterator>

namespace standins {

namespace {

// What is drawn for each fault, whether its kind makes use of it or not.
struct Draw {
  double for_s = 0;
  size_t controller = 0;
  CutMode mode = CutMode::kHold;
  double strength = 0;  // between 0 and 1
  Link link = Link::kAll;

  int few_machines(int most) const { return 1 + static_cast<int>(strength * most); }
};

struct Target {
  Simulation& simulation;
  size_t controllers;
  FaultInjector& faults;
};

using FaultFunction = void (*)(const Target&, const Draw&);

void crash(const Target& t, const Draw& d) {
  constexpr double kMaxDown = 3;  // s
  t.faults.crash(d.controller, std::min(d.for_s, kMaxDown));
}

void restart(const Target& t, const Draw& d) { t.faults.crash(d.controller, 0.1); }

void crash_all(const Target& t, const Draw&) {
  for (size_t i = 0; i < t.controllers; ++i) t.faults.crash(i, 1 + 0.2 * static_cast<double>(i));
}

void cut(const Target& t, const Draw& d) { t.faults.cut(d.controller, d.link, d.for_s, d.mode); }

void refuse_at_store(const Target& t, const Draw& d) {
  t.faults.refuse_at_store(d.controller, d.for_s);
}

void store_outage(const Target& t, const Draw& d) { t.faults.store_outage(d.for_s); }

void cut_machines(const Target& t, const Draw& d) {
  t.faults.cut_machines(d.few_machines(2), d.for_s, d.mode);
}

void hang_machines(const Target& t, const Draw& d) {
  t.faults.hang_machines(d.few_machines(2), d.for_s);
}

void lose_answers(const Target& t, const Draw& d) {
  t.faults.lose_answers(0.1 + 0.4 * d.strength, d.for_s);
}

void delay_requests(const Target& t, const Draw& d) {
  t.faults.delay_requests(0.1 + 0.4 * d.strength, 1 + 5 * d.strength, d.for_s);
}

void reclaim_spot(const Target& t, const Draw& d) {
  t.faults.reclaim_spot(0.6, d.strength < 0.5 ? 0 : 3);
}

void lose_machine_inbound(const Target& t, const Draw& d) {
  t.faults.lose_machine_inbound(d.few_machines(2), 2 * d.for_s);
}

void duplicate_heartbeats(const Target& t, const Draw& d) {
  t.faults.duplicate_heartbeats(0.2 + 0.5 * d.strength, 4 * d.for_s, d.for_s);
}

void freeze(const Target& t, const Draw& d) { t.faults.freeze(d.controller, 1.5 * d.for_s); }

void delay_transactions(const Target& t, const Draw& d) {
  t.faults.delay_transactions(0.2 + 0.4 * d.strength, 2 + 6 * d.strength, d.for_s);
}

void slow_store(const Target& t, const Draw& d) {
  t.faults.slow_store(0.2 + 0.8 * d.strength, d.for_s);
}

void lose_machine_outbound(const Target& t, const Draw& d) {
  t.faults.lose_machine_outbound(d.few_machines(4), 2 * d.for_s);
}

void cancel_running_jobs(const Target& t, const Draw& d) {
  t.faults.cancel_running_jobs(d.few_machines(4), d.strength < 0.5 ? 0 : d.for_s);
}

void cancel_on_completion(const Target& t, const Draw& d) {
  t.faults.cancel_on_completion(0.5, d.for_s);
}

void send_odd_requests(const Target& t, const Draw& d) { t.faults.send_odd_requests(d.for_s); }

// A controller that cannot write is soon without its peers, jobs are cancelled through the others,
// and then the store answers nobody, so that it cannot learn of the cancellations.
void cancel_behind_refused_controller(const Target& t, const Draw& d) {
  t.faults.refuse_at_store(d.controller, 2 + d.for_s);
  t.faults.cut(d.controller, Link::kPeers, 0.2 + d.strength, d.mode);
  t.faults.cancel_running_jobs(2, 0);
  t.simulation.events.after(0.3 + d.strength / 2, [&faults = t.faults, for_s = d.for_s] {
    faults.store_outage(2 * for_s);
  });
}

// A controller without store and peers that still reaches workers and users.
void isolate_from_store_and_peers(const Target& t, const Draw& d) {
  t.faults.cut(d.controller, Link::kStore, 2 * d.for_s, d.mode);
  t.faults.cut(d.controller, Link::kPeers, 2 * d.for_s, d.mode);
  t.faults.cancel_running_jobs(2, 0);
}

// Each entry is equally likely. The order is part of what a seed stands for.
constexpr FaultFunction kFaults[] = {
    crash,
    crash,
    restart,
    crash_all,
    cut,
    cut,
    cut,
    refuse_at_store,
    store_outage,
    cut_machines,
    hang_machines,
    lose_answers,
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
    send_odd_requests,
    cancel_behind_refused_controller,
    isolate_from_store_and_peers,
};

constexpr Link kLinks[] = {Link::kStore, Link::kWorkers, Link::kPeers, Link::kAll};

}  // namespace

void schedule_random_faults(Simulation& simulation, size_t controllers, FaultInjector& faults,
                            double from, double to, int count) {
  constexpr double kMinFor = 0.3, kMaxExtra = 9, kHoldProbability = 0.6;
  Random& random = simulation.random;
  const Target target{simulation, controllers, faults};
  for (int i = 0; i < count; ++i) {
    const double at = from + random.unit() * (to - from);
    Draw draw;
    draw.for_s = kMinFor + random.unit() * kMaxExtra;
    draw.controller = random.index(controllers);
    draw.mode = random.happens(kHoldProbability) ? CutMode::kHold : CutMode::kDrop;
    draw.strength = random.unit();
    const FaultFunction inject = kFaults[random.index(std::size(kFaults))];
    draw.link = kLinks[random.index(std::size(kLinks))];
    simulation.events.at(at, [target, inject, draw] { inject(target, draw); });
  }
}

}  // namespace standins
