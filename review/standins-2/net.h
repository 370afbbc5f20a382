// Event loop, HTTP server and HTTP client of the stand-ins. One thread, real clock, loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace standin {

inline double monotonic() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

class Loop {
 public:
  using Callback = std::function<void()>;
  double now() const { return monotonic() - start_; }
  uint64_t at(double time, Callback callback) {
    const uint64_t id = next_id_++;
    timers_.emplace(std::make_pair(time, id), std::move(callback));
    return id;
  }
  uint64_t after(double delay, Callback callback) { return at(now() + delay, std::move(callback)); }
  void watch(int fd, short events, std::function<void(short)> callback) {
    fds_[fd] = {events, std::make_shared<std::function<void(short)>>(std::move(callback))};
  }
  void set_events(int fd, short events) {
    auto it = fds_.find(fd);
    if (it != fds_.end()) it->second.events = events;
  }
  void unwatch(int fd) { fds_.erase(fd); }
  void stop() { running_ = false; }
  void run() {
    std::vector<pollfd> polled;
    while (running_) {
      polled.clear();
      for (const auto& [fd, entry] : fds_) polled.push_back({fd, entry.events, 0});
      double wait = 0.05;
      if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first.first - now());
      ::poll(polled.data(), polled.size(), wait <= 0 ? 0 : static_cast<int>(wait * 1000) + 1);
      while (running_ && !timers_.empty() && timers_.begin()->first.first <= now()) {
        Callback callback = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        callback();
      }
      for (const pollfd& p : polled) {
        if (!running_) break;
        if (p.revents == 0) continue;
        auto it = fds_.find(p.fd);
        if (it == fds_.end()) continue;
        auto callback = it->second.callback;
        (*callback)(p.revents);
      }
    }
  }

 private:
  struct Entry {
    short events = 0;
    std::shared_ptr<std::function<void(short)>> callback;
  };
  double start_ = monotonic();
  bool running_ = true;
  uint64_t next_id_ = 1;
  std::map<std::pair<double, uint64_t>, Callback> timers_;
  std::map<int, Entry> fds_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int open_socket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::runtime_error("no socket");
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

// Returns a listening socket on a free loopback port, or on `port`.
inline int listen_on(int& port) {
  const int fd = open_socket();
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 256) != 0)
    throw std::runtime_error("cannot listen");
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// Returns ports that are free, below the range from which the system takes those of outgoing
// connections, so that they stay free while a process that uses them is down.
inline std::vector<int> free_ports(size_t count) {
  std::vector<int> ports;
  unsigned next = static_cast<unsigned>(::getpid()) * 7919u +
                  static_cast<unsigned>(monotonic() * 1e6);
  for (int tries = 0; ports.size() < count && tries < 10000; ++tries) {
    next = next * 1664525u + 1013904223u;
    int port = 10000 + static_cast<int>((next >> 8) % 20000);
    const int fd = open_socket();
    sockaddr_in address = loopback(port);
    const bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (is_free && std::find(ports.begin(), ports.end(), port) == ports.end())
      ports.push_back(port);
  }
  if (ports.size() < count) throw std::runtime_error("no free ports");
  return ports;
}

struct Message {
  std::string method, target, body;
  int status = 0;
  double retry_after = 0;
  bool close = false;
};

// Takes one message off the front of `data`. Returns false if it is incomplete.
inline bool take_message(std::string& data, bool is_request, Message& message) {
  const size_t end = data.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  message = {};
  size_t length = 0, line = data.find("\r\n");
  const std::string first = data.substr(0, line);
  if (is_request) {
    const size_t a = first.find(' '), b = first.rfind(' ');
    message.method = first.substr(0, a);
    message.target = b > a ? first.substr(a + 1, b - a - 1) : "";
  } else {
    message.status = first.size() > 9 ? std::atoi(first.c_str() + 9) : 0;
  }
  while (line < end) {
    const size_t next = data.find("\r\n", line + 2);
    std::string header = data.substr(line + 2, next - line - 2);
    const size_t colon = header.find(':');
    if (colon != std::string::npos) {
      std::string name = header.substr(0, colon), value = header.substr(colon + 1);
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      if (name == "content-length") length = std::strtoul(value.c_str(), nullptr, 10);
      if (name == "retry-after") message.retry_after = std::atof(value.c_str());
      if (name == "connection" && value.find("close") != std::string::npos) message.close = true;
    }
    line = next;
  }
  if (data.size() < end + 4 + length) return false;
  message.body = data.substr(end + 4, length);
  data.erase(0, end + 4 + length);
  return true;
}

using Reply = std::function<void(int status, std::string body)>;

class Server {
 public:
  using Handler = std::function<void(const Message& request, Reply reply)>;
  // `listener`: a listening socket on `port`, or -1 for a new one.
  Server(Loop& loop, Handler handler, int listener = -1, int port = 0)
      : loop_(loop), handler_(std::move(handler)), fd_(listener), port_(port) {
    if (fd_ < 0) fd_ = listen_on(port_);
    loop_.watch(fd_, POLLIN, [this](short) { accept(); });
  }
  ~Server() { shut(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Closes the listener and all connections.
  void shut() {
    if (fd_ < 0) return;
    loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
    for (auto& [id, connection] : connections_) {
      loop_.unwatch(connection.fd);
      ::close(connection.fd);
    }
    connections_.clear();
  }

 private:
  struct Connection {
    int fd = -1;
    std::string in, out;
    bool busy = false, close = false;
  };
  void accept() {
    for (;;) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const uint64_t id = next_id_++;
      connections_[id].fd = fd;
      loop_.watch(fd, POLLIN, [this, id](short events) { on_io(id, events); });
    }
  }
  void drop(uint64_t id) {
    auto it = connections_.find(id);
    if (it == connections_.end()) return;
    loop_.unwatch(it->second.fd);
    ::close(it->second.fd);
    connections_.erase(it);
  }
  void on_io(uint64_t id, short events) {
    auto it = connections_.find(id);
    if (it == connections_.end()) return;
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
      char buffer[65536];
      const ssize_t n = ::recv(it->second.fd, buffer, sizeof buffer, 0);
      if (n == 0 || (n < 0 && errno != EAGAIN)) return drop(id);
      if (n > 0) it->second.in.append(buffer, static_cast<size_t>(n));
      serve(id);
    }
    if ((events & POLLOUT) != 0) flush(id);
  }
  void serve(uint64_t id) {
    auto it = connections_.find(id);
    if (it == connections_.end() || it->second.busy) return;
    Message request;
    if (!take_message(it->second.in, true, request)) return;
    it->second.busy = true;
    it->second.close = request.close;
    handler_(request, [this, id](int status, std::string body) {
      auto found = connections_.find(id);
      if (found == connections_.end()) return;
      Connection& connection = found->second;
      connection.busy = false;
      connection.out += "HTTP/1.1 " + std::to_string(status) +
                        " X\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n" +
                        (connection.close ? "Connection: close\r\n" : "") + "\r\n" + body;
      flush(id);
      serve(id);
    });
  }
  void flush(uint64_t id) {
    auto it = connections_.find(id);
    if (it == connections_.end()) return;
    Connection& c = it->second;
    while (!c.out.empty()) {
      const ssize_t n = ::send(c.fd, c.out.data(), c.out.size(), MSG_NOSIGNAL);
      if (n < 0 && errno == EAGAIN) return loop_.set_events(c.fd, POLLIN | POLLOUT);
      if (n <= 0) return drop(id);
      c.out.erase(0, static_cast<size_t>(n));
    }
    if (c.close && !c.busy) return drop(id);
    loop_.set_events(c.fd, POLLIN);
  }

  Loop& loop_;
  Handler handler_;
  int fd_ = -1, port_ = 0;
  uint64_t next_id_ = 1;
  std::map<uint64_t, Connection> connections_;
};

// Sends single requests, each on a connection of its own.
class Client {
 public:
  // Status 0: no answer.
  using Done = std::function<void(const Message& response)>;
  explicit Client(Loop& loop) : loop_(loop) {}
  void request(const std::string& address, const std::string& method, const std::string& path,
               const std::string& body, double timeout, Done done) {
    const int port = std::atoi(address.c_str() + address.rfind(':') + 1);
    const int fd = open_socket();
    sockaddr_in to = loopback(port);
    const uint64_t id = next_id_++;
    Call& call = calls_[id];
    call.fd = fd;
    call.done = std::move(done);
    call.out = method + " " + path + " HTTP/1.1\r\nHost: " + address +
               "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
      loop_.after(0, [this, id] { finish(id, {}); });
      return;
    }
    loop_.watch(fd, POLLIN | POLLOUT, [this, id](short events) { on_io(id, events); });
    loop_.after(timeout, [this, id] { finish(id, {}); });
  }

 private:
  struct Call {
    int fd = -1;
    std::string in, out;
    Done done;
  };
  void finish(uint64_t id, const Message& response) {
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    Done done = std::move(it->second.done);
    loop_.unwatch(it->second.fd);
    ::close(it->second.fd);
    calls_.erase(it);
    done(response);
  }
  void on_io(uint64_t id, short events) {
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    Call& call = it->second;
    if ((events & POLLOUT) != 0 && !call.out.empty()) {
      const ssize_t n = ::send(call.fd, call.out.data(), call.out.size(), MSG_NOSIGNAL);
      // An answer may have arrived before the request was sent in full.
      if (n < 0 && errno != EAGAIN) call.out.clear();
      if (n > 0) call.out.erase(0, static_cast<size_t>(n));
      if (call.out.empty()) loop_.set_events(call.fd, POLLIN);
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    char buffer[65536];
    const ssize_t n = ::recv(call.fd, buffer, sizeof buffer, 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n > 0) call.in.append(buffer, static_cast<size_t>(n));
    Message response;
    if (take_message(call.in, false, response)) return finish(id, response);
    if (n <= 0) finish(id, {});
  }

  Loop& loop_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, Call> calls_;
};

}  // namespace standin
