// RAII around libev's watchers.
#pragma once

#include <ev.h>

#include <functional>
#include <utility>

namespace rooksill::net {

class IoWatcher {
 public:
  using Callback = std::function<void(int events)>;
  IoWatcher(struct ev_loop* loop, int fd, int events, Callback callback)
      : loop_(loop), callback_(std::move(callback)) {
    ev_io_init(&io_, &IoWatcher::on_event, fd, events);
    io_.data = this;
    ev_io_start(loop_, &io_);
  }
  ~IoWatcher() { ev_io_stop(loop_, &io_); }
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;

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

class Timer {
 public:
  using Callback = std::function<void()>;
  Timer(struct ev_loop* loop, double delay_s, double interval_s, Callback callback)
      : loop_(loop), callback_(std::move(callback)) {
    ev_timer_init(&timer_, &Timer::on_event, after, repeat);
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
