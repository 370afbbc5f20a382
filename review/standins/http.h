// Event loop, HTTP/1.1 server and client for the stand-ins. One thread, loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace standins {

inline double now_s() {
  using Seconds = std::chrono::duration<double>;
  static const auto start = std::chrono::steady_clock::now();
  return Seconds(std::chrono::steady_clock::now() - start).count();
}

class Loop {
 public:
  using Fn = std::function<void()>;
  void after(double delay_s, Fn fn) { timers_.emplace(now_s() + delay_s, std::move(fn)); }
  void watch(int fd, short events, std::function<void(short)> fn) {
    fds_[fd] = {events, std::make_shared<std::function<void(short)>>(std::move(fn))};
  }
  void set_events(int fd, short events) {
    if (auto it = fds_.find(fd); it != fds_.end()) it->second.events = events;
  }
  void unwatch(int fd) { fds_.erase(fd); }
  void stop() { stopped_ = true; }
  void run() {
    while (!stopped_) {
      double wait_s = 0.2;
      while (!timers_.empty() && !stopped_) {
        auto it = timers_.begin();
        const double left = it->first - now_s();
        if (left > 0) {
          wait_s = std::min(wait_s, left);
          break;
        }
        Fn fn = std::move(it->second);
        timers_.erase(it);
        fn();
      }
      if (stopped_) return;
      std::vector<pollfd> list;
      for (const auto& [fd, entry] : fds_) list.push_back({fd, entry.events, 0});
      ::poll(list.data(), list.size(), static_cast<int>(wait_s * 1000) + 1);
      for (const pollfd& p : list) {
        if (p.revents == 0) continue;
        auto it = fds_.find(p.fd);
        if (it == fds_.end()) continue;
        auto fn = it->second.fn;  // keeps the function alive if it unwatches itself
        (*fn)(p.revents);
      }
    }
  }

 private:
  struct Entry {
    short events = 0;
    std::shared_ptr<std::function<void(short)>> fn;
  };
  std::multimap<double, Fn> timers_;
  std::map<int, Entry> fds_;
  bool stopped_ = false;
};

struct Message {
  std::string method, target, body;
  int status = 0;
  bool closes = false;
};

// Parses one message with a Content-Length. Returns the bytes used, 0 if incomplete.
inline size_t parse_message(const std::string& data, Message& message) {
  const auto head_end = data.find("\r\n\r\n");
  if (head_end == std::string::npos) return 0;
  const std::string head = data.substr(0, head_end + 2);
  const std::string line = head.substr(0, head.find("\r\n"));
  if (line.rfind("HTTP/", 0) == 0) {
    message.status = std::atoi(line.substr(9, 3).c_str());
  } else {
    const auto a = line.find(' '), b = line.rfind(' ');
    message.method = line.substr(0, a);
    message.target = line.substr(a + 1, b - a - 1);
  }
  std::string lower;
  for (char c : head) lower += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  size_t length = 0;
  if (auto at = lower.find("\r\ncontent-length:"); at != std::string::npos)
    length = std::strtoul(lower.c_str() + at + 17, nullptr, 10);
  message.closes = lower.find("\r\nconnection: close") != std::string::npos;
  if (data.size() < head_end + 4 + length) return 0;
  message.body = data.substr(head_end + 4, length);
  return head_end + 4 + length;
}

inline void set_nonblocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens on a free loopback port. Returns the socket and sets `port`.
inline int listen_on_free_port(int& port) {
  int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(fd, 256) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("no free port");
  port = ntohs(address.sin_port);
  set_nonblocking(fd);
  return fd;
}

// Returns free ports for processes that are started later.
inline std::vector<int> free_ports(size_t count) {
  std::vector<int> ports, fds;
  for (size_t i = 0; i < count; ++i) {
    int port = 0;
    fds.push_back(listen_on_free_port(port));
    ports.push_back(port);
  }
  for (int fd : fds) ::close(fd);
  return ports;
}

class Server {
 public:
  // `peer_port` is the client's port. Responds with (status, body).
  using Respond = std::function<void(int, const std::string&)>;
  using Handler = std::function<void(const Message&, Respond)>;

  Server(Loop& loop, Handler handler) : loop_(loop), handler_(std::move(handler)) {
    fd_ = listen_on_free_port(port_);
    loop_.watch(fd_, POLLIN, [this](short) { accept(); });
  }
  ~Server() { close_all(); }
  Server(const Server&) = delete;
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Closes the listener and all connections, like a machine that is gone.
  void close_all() {
    if (fd_ >= 0) {
      loop_.unwatch(fd_);
      ::close(fd_);
      fd_ = -1;
    }
    for (auto& [fd, connection] : connections_) {
      loop_.unwatch(fd);
      ::close(fd);
      connection->fd = -1;
    }
    connections_.clear();
  }

 private:
  struct Connection {
    int fd = -1;
    std::string in, out;
    bool busy = false, closing = false;
  };
  void accept() {
    for (;;) {
      int fd = ::accept(fd_, nullptr, nullptr);
      if (fd < 0) return;
      set_nonblocking(fd);
      auto connection = std::make_shared<Connection>();
      connection->fd = fd;
      connections_[fd] = connection;
      loop_.watch(fd, POLLIN, [this, connection](short events) { on_event(connection, events); });
    }
  }
  void close(const std::shared_ptr<Connection>& connection) {
    if (connection->fd < 0) return;
    loop_.unwatch(connection->fd);
    connections_.erase(connection->fd);
    ::close(connection->fd);
    connection->fd = -1;
  }
  void on_event(const std::shared_ptr<Connection>& connection, short events) {
    if ((events & POLLOUT) != 0) flush(connection);
    if (connection->fd < 0 || (events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    char buffer[65536];
    const ssize_t size = ::recv(connection->fd, buffer, sizeof buffer, 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (size <= 0) return close(connection);
    connection->in.append(buffer, static_cast<size_t>(size));
    next_request(connection);
  }
  void next_request(const std::shared_ptr<Connection>& connection) {
    if (connection->busy || connection->fd < 0) return;
    Message request;
    const size_t used = parse_message(connection->in, request);
    if (used == 0) return;
    connection->in.erase(0, used);
    connection->busy = true;
    connection->closing = request.closes;
    handler_(request, [this, connection](int status, const std::string& body) {
      if (connection->fd < 0 || !connection->busy) return;
      connection->busy = false;
      connection->out += "HTTP/1.1 " + std::to_string(status) +
                         " X\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n" +
                         (connection->closing ? "Connection: close\r\n" : "") + "\r\n" + body;
      flush(connection);
      next_request(connection);
    });
  }
  void flush(const std::shared_ptr<Connection>& connection) {
    while (!connection->out.empty()) {
      const ssize_t size =
          ::send(connection->fd, connection->out.data(), connection->out.size(), MSG_NOSIGNAL);
      if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        loop_.set_events(connection->fd, POLLIN | POLLOUT);
        return;
      }
      if (size <= 0) return close(connection);
      connection->out.erase(0, static_cast<size_t>(size));
    }
    if (connection->closing && !connection->busy) return close(connection);
    loop_.set_events(connection->fd, POLLIN);
  }
  Loop& loop_;
  Handler handler_;
  int fd_ = -1, port_ = 0;
  std::map<int, std::shared_ptr<Connection>> connections_;
};

// Sends one request on a connection of its own. `done` gets status 0 if there is no response within
// `timeout_s` or the connection fails.
inline void request(Loop& loop, int port, const std::string& method, const std::string& path,
                    const std::string& body, double timeout_s,
                    std::function<void(int, const std::string&)> done) {
  struct Call {
    int fd = -1;
    std::string in, out;
    bool finished = false;
    std::function<void(int, const std::string&)> done;
  };
  auto call = std::make_shared<Call>();
  call->done = std::move(done);
  call->fd = ::socket(AF_INET, SOCK_STREAM, 0);
  set_nonblocking(call->fd);
  auto finish = [&loop, call](int status, const std::string& text) {
    if (call->finished) return;
    call->finished = true;
    loop.unwatch(call->fd);
    ::close(call->fd);
    auto fn = std::move(call->done);
    fn(status, text);
  };
  call->out = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n" +
              "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body;
  sockaddr_in address = loopback(port);
  if (::connect(call->fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS) {
    loop.after(0, [finish] { finish(0, ""); });
    return;
  }
  loop.watch(call->fd, POLLOUT, [&loop, call, finish](short events) {
    if ((events & POLLOUT) != 0 && !call->out.empty()) {
      const ssize_t size = ::send(call->fd, call->out.data(), call->out.size(), MSG_NOSIGNAL);
      if (size < 0 && errno != EAGAIN && errno != EINTR) return finish(0, "");
      if (size > 0) call->out.erase(0, static_cast<size_t>(size));
      if (call->out.empty()) loop.set_events(call->fd, POLLIN);
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    char buffer[65536];
    const ssize_t size = ::recv(call->fd, buffer, sizeof buffer, 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (size <= 0) return finish(0, "");
    call->in.append(buffer, static_cast<size_t>(size));
    Message response;
    if (parse_message(call->in, response) != 0) finish(response.status, response.body);
  });
  loop.after(timeout_s, [finish] { finish(0, ""); });
}

}  // namespace standins
