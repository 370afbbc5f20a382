// The simulated clock and the actions that are due at a later time on it.
#pragma once

#include <functional>
#include <map>

namespace standins {

// A discrete-event queue. Times are in seconds of simulated time, which starts at 0 and moves only
// while run_until() runs. Actions due at the same time run in the order in which they were added.
class EventQueue {
 public:
  using Action = std::function<void()>;

  double now() const { return now_; }

  // Runs `action` at `time`, or as soon as possible if that has passed.
  void at(double time, Action action);
  void after(double delay_s, Action action) { at(now_ + delay_s, std::move(action)); }

  // Advances the clock to `end` in steps of `step_s`: runs the actions that fall into a step, each
  // at its own time, then calls `on_step` at the step's end.
  void run_until(double end, double step_s, const Action& on_step);

 private:
  void run_actions_due(double limit);

  double now_ = 0;
  std::multimap<double, Action> actions_;  // by due time
};

}  // namespace standins
