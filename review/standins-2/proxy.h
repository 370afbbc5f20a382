// A TCP proxy on loopback that holds back, resets or refuses what passes through it.
#pragma once

#include "net.h"

namespace standin {

class Proxy {
 public:
  enum class Mode { kPass, kHold, kReset };
  Proxy(Loop& loop, std::string target) : loop_(loop), target_(std::move(target)) {
    fd_ = listen_on(port_);
    loop_.watch(fd_, POLLIN, [this](short) { accept(); });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // kHold: nothing passes; what was sent is delivered in order when the mode ends, also of
  // connections that the sender has closed. kReset: connections are reset.
  void set_mode(Mode mode) {
    mode_ = mode;
    std::vector<uint64_t> ids;
    for (auto& [id, pair] : pairs_) ids.push_back(id);
    for (uint64_t id : ids) {
      if (mode == Mode::kReset) drop(id, true);
      if (mode == Mode::kPass) resume(id);
    }
  }
  // Extra time that each piece of data takes, in seconds.
  double delay = 0;

 private:
  struct Side {
    int fd = -1;
    std::string out;      // to be sent to this side
    bool ended = false;   // this side sends no more
    bool connected = true;
  };
  struct Pair {
    Side a, b;  // a: who connected, b: the target
  };
  void accept() {
    for (;;) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      if (mode_ == Mode::kReset) {
        reset(fd);
        continue;
      }
      const uint64_t id = next_id_++;
      Pair& pair = pairs_[id];
      pair.a.fd = fd;
      pair.b.fd = open_socket();
      pair.b.connected = false;
      sockaddr_in to = loopback(std::atoi(target_.c_str() + target_.rfind(':') + 1));
      const int rc = ::connect(pair.b.fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
      if (rc != 0 && errno != EINPROGRESS) {
        drop(id, true);
        continue;
      }
      loop_.watch(pair.b.fd, POLLIN | POLLOUT, [this, id](short e) { on_io(id, false, e); });
      loop_.watch(fd, POLLIN, [this, id](short e) { on_io(id, true, e); });
    }
  }
  static void reset(int fd) {
    linger l{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    ::close(fd);
  }
  void drop(uint64_t id, bool hard) {
    auto it = pairs_.find(id);
    if (it == pairs_.end()) return;
    for (Side* side : {&it->second.a, &it->second.b}) {
      loop_.unwatch(side->fd);
      if (hard)
        reset(side->fd);
      else
        ::close(side->fd);
    }
    pairs_.erase(it);
  }
  void on_io(uint64_t id, bool is_a, short events) {
    auto it = pairs_.find(id);
    if (it == pairs_.end()) return;
    Side& from = is_a ? it->second.a : it->second.b;
    Side& to = is_a ? it->second.b : it->second.a;
    if ((events & POLLOUT) != 0) {
      from.connected = true;
      if (!flush(id, from)) return;
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    char buffer[65536];
    const ssize_t n = ::recv(from.fd, buffer, sizeof buffer, 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n < 0) return drop(id, true);
    if (n == 0) {
      from.ended = true;
      loop_.set_events(from.fd, 0);
      if (mode_ != Mode::kHold && to.out.empty()) drop(id, false);
      return;
    }
    const std::string data(buffer, static_cast<size_t>(n));
    if (delay > 0) {
      loop_.after(delay, [this, id, is_a, data] { deliver(id, is_a, data); });
      return;
    }
    deliver(id, is_a, data);
  }
  void deliver(uint64_t id, bool from_a, const std::string& data) {
    auto it = pairs_.find(id);
    if (it == pairs_.end()) return;
    Side& to = from_a ? it->second.b : it->second.a;
    to.out += data;
    flush(id, to);
  }
  // Returns false if the pair is gone.
  bool flush(uint64_t id, Side& side) {
    if (mode_ == Mode::kHold) return true;
    while (!side.out.empty() && side.connected) {
      const ssize_t n = ::send(side.fd, side.out.data(), side.out.size(), MSG_NOSIGNAL);
      if (n < 0 && errno == EAGAIN) {
        loop_.set_events(side.fd, side.ended ? POLLOUT : POLLIN | POLLOUT);
        return true;
      }
      if (n <= 0) {
        drop(id, true);
        return false;
      }
      side.out.erase(0, static_cast<size_t>(n));
    }
    if (side.connected) loop_.set_events(side.fd, side.ended ? 0 : POLLIN);
    return true;
  }
  void resume(uint64_t id) {
    for (bool is_a : {true, false}) {
      auto it = pairs_.find(id);
      if (it == pairs_.end()) return;
      if (!flush(id, is_a ? it->second.a : it->second.b)) return;
    }
    auto it = pairs_.find(id);
    if (it == pairs_.end()) return;
    if ((it->second.a.ended && it->second.b.out.empty()) || it->second.b.ended) drop(id, false);
  }

  Loop& loop_;
  std::string target_;
  int fd_ = -1, port_ = 0;
  Mode mode_ = Mode::kPass;
  uint64_t next_id_ = 1;
  std::map<uint64_t, Pair> pairs_;
};

}  // namespace standin
