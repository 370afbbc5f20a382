// A timer for steps that are due at most once per interval.
#pragma once

namespace rooksill::runtime {

// Times are steady seconds. A new timer has expired.
class IntervalTimer {
 public:
  bool expired(double now) const { return now >= due_at_; }
  void restart(double now, double interval_s) { due_at_ = now + interval_s; }

  // If the timer has expired, starts it anew and returns true.
  bool fire(double now, double interval_s) {
    if (!expired(now)) return false;
    restart(now, interval_s);
    return true;
  }

 private:
  double due_at_ = 0;
};

}  // namespace rooksill::runtime
