// The simulated clock and the actions scheduled on it.
#pragma once

#include <functional>
#include <map>

namespace standins {

// A discrete-event queue. Times are in seconds of simulated time, which starts at 0 and moves only
// while run_until() runs. Actions due at the same time run in the order in which they were added.
class EventQueue {
 public:
  using Action = std::function<void()>;

  // Returns the simulated time.
  double now() const { return now_; }

  // Schedules `action` at `time`, or as soon as possible if that has passed.
  void at(double time, Action action);
  // Schedules `action` after a delay.
  void after(double delay_s, Action action) { at(now_ + delay_s, std::move(action)); }

  // Advances the clock to `end` in steps of `step_s`. In each step, runs the actions that are due,
  // each at its own time, then calls `on_step` at the end of the step.
  void run_until(double end, double step_s, const Action& on_step);

 private:
  // Runs the actions that are due at `limit` or earlier.
  void run_actions_due(double limit);

  double now_ = 0;
  std::multimap<double, Action> actions_;  // by due time
};

}  // namespace standins
