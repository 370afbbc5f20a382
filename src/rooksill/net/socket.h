// Non-blocking TCP sockets.
#pragma once

#include <string>

namespace rooksill::net {

// Owns a socket's file descriptor and closes it on destruction.
class Socket {
 public:
  Socket() = default;
  // Takes ownership of `fd`.
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

  // Returns the file descriptor, or -1 if there is none.
  int fd() const { return fd_; }
  // Returns whether there is a file descriptor.
  bool is_open() const { return fd_ >= 0; }
  // Closes the socket if it is open.
  void reset();
  // Returns the file descriptor and gives up its ownership.
  int release() {
    int released = fd_;
    fd_ = -1;
    return released;
  }

 private:
  int fd_ = -1;
};

// Returns a listening socket for `address` ("host:port", the host as an IPv4 address). Throws
// std::runtime_error if the address is invalid or cannot be listened on.
Socket listen_on(const std::string& address);
// Starts connecting to `address` ("host:port", the host as an IPv4 address) and returns the socket.
// It is not open if the attempt failed immediately.
Socket connect_to(const std::string& address);
// Returns the error (errno) of a connection attempt whose socket became writable, or 0 if it
// succeeded.
int connect_error(int fd);

}  // namespace rooksill::net
