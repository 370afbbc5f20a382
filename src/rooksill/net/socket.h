// Non-blocking TCP sockets.
#pragma once

#include <string>

namespace rooksill::net {

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { reset(); }
  Socket(Socket&& other) noexcept : fd_(other.release()) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      reset();
      fd_ = other.release();
    }
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  void reset();
  int release() {
    int released = fd_;
    fd_ = -1;
    return released;
  }

 private:
  int fd_ = -1;
};

// "host:port", by IP number. Throws std::runtime_error.
Socket listen_on(const std::string& address);
// Starts a connection; not open if it failed at once.
Socket connect_to(const std::string& address);
// The error of a connection attempt that became writable; 0 when it is connected.
int connect_error(int fd);

}  // namespace rooksill::net
