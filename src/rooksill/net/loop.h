// RAII wrappers for libev watchers.
#pragma once

#include <ev.h>

#include <functional>
#include <utility>

namespace rooksill::net {

// Calls a function when a file descriptor is ready, until destroyed.
class IoWatcher {
 public:
  // Receives the events that occurred: EV_READ, EV_WRITE or both.
  using Callback = std::function<void(int events)>;
  // Starts watching `fd` for `events`. The loop and the descriptor must outlive the watcher.
  IoWatcher(struct ev_loop* loop, int fd, int events, Callback callback)
      : loop_(loop), callback_(std::move(callback)) {
    ev_io_init(&io_, &IoWatcher::on_event, fd, events);
    io_.data = this;
    ev_io_start(loop_, &io_);
  }
  ~IoWatcher() { ev_io_stop(loop_, &io_); }
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;

  // Changes the events to watch for.
  void set_events(int events) {
    if (io_.events == (events | EV__IOFDSET) || (io_.events & (EV_READ | EV_WRITE)) == events)
      return;
    ev_io_stop(loop_, &io_);
    ev_io_set(&io_, io_.fd, events);
    ev_io_start(loop_, &io_);
  }

 private:
  static void on_event(struct ev_loop*, ev_io* io, int events) {
    static_cast<IoWatcher*>(io->data)->callback_(events);
  }
  struct ev_loop* loop_;
  ev_io io_;
  Callback callback_;
};

// Calls a function after a delay and then at an interval, until destroyed.
class Timer {
 public:
  using Callback = std::function<void()>;
  // Starts the timer. With `interval_s` 0 the function is called once. The loop must outlive the
  // timer.
  Timer(struct ev_loop* loop, double delay_s, double interval_s, Callback callback)
      : loop_(loop), callback_(std::move(callback)) {
    ev_timer_init(&timer_, &Timer::on_event, delay_s, interval_s);
    timer_.data = this;
    ev_timer_start(loop_, &timer_);
  }
  ~Timer() { ev_timer_stop(loop_, &timer_); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

 private:
  static void on_event(struct ev_loop*, ev_timer* timer, int) {
    static_cast<Timer*>(timer->data)->callback_();
  }
  struct ev_loop* loop_;
  ev_timer timer_;
  Callback callback_;
};

}  // namespace rooksill::net
