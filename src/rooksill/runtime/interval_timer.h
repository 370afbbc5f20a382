// Timer for steps that run at most once per interval.
#pragma once

namespace rooksill::runtime {

// Times are steady seconds. A new timer is expired.
class IntervalTimer {
 public:
  // Returns whether the interval since the last restart has passed.
  bool expired(double now) const { return now >= due_at_; }
  // Starts an interval at `now`.
  void restart(double now, double interval_s) { due_at_ = now + interval_s; }

  // Restarts the timer if it has expired. Returns whether it had.
  bool fire(double now, double interval_s) {
    if (!expired(now)) return false;
    restart(now, interval_s);
    return true;
  }

 private:
  double due_at_ = 0;
};

}  // namespace rooksill::runtime
