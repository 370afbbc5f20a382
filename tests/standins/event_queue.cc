#include "standins/event_queue.h"

#include <algorithm>

namespace standins {

void EventQueue::at(double time, Action action) {
  actions_.emplace(std::max(time, now_), std::move(action));
}

void EventQueue::run_until(double end, double step_s, const Action& on_step) {
  double next_step = now_;
  while (now_ < end) {
    run_actions_due(next_step);
    now_ = next_step;
    on_step();
    next_step += step_s;
  }
}

void EventQueue::run_actions_due(double limit) {
  while (!actions_.empty() && actions_.begin()->first <= limit) {
    auto due = actions_.extract(actions_.begin());
    now_ = std::max(now_, due.key());
    due.mapped()();
  }
}

}  // namespace standins
