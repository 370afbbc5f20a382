#include "rooksill/net/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstdint>
#include <cstring>
#include <stdexcept>

namespace rooksill::net {
namespace {

// Parses "host:port", the host as an IPv4 address.
bool parse_address(const std::string& address, sockaddr_in& result) {
  auto colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  std::memset(&result, 0, sizeof result);
  result.sin_family = AF_INET;
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  auto [parsed_end, error] = std::from_chars(address.data() + colon + 1, end, port);
  if (error != std::errc() || parsed_end != end) return false;
  result.sin_port = htons(port);
  return inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) == 1;
}

void disable_send_delay(int fd) {
  int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

}  // namespace

void Socket::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

Socket listen_on(const std::string& address) {
  sockaddr_in socket_address{};
  if (!parse_address(address, socket_address))
    throw std::runtime_error(address + ": invalid address, expected IP:port");
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!listener.is_open()) throw std::runtime_error(address + ": " + std::strerror(errno));
  int enabled = 1;
  setsockopt(listener.fd(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind(listener.fd(), reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) !=
          0 ||
      listen(listener.fd(), 512) != 0)
    throw std::runtime_error(address + ": " + std::strerror(errno));
  return listener;
}

Socket connect_to(const std::string& address) {
  sockaddr_in socket_address{};
  if (!parse_address(address, socket_address)) return {};
  Socket connection(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!connection.is_open()) return {};
  disable_send_delay(connection.fd());
  if (connect(connection.fd(), reinterpret_cast<sockaddr*>(&socket_address),
              sizeof socket_address) != 0 &&
      errno != EINPROGRESS)
    return {};
  return connection;
}

int connect_error(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

}  // namespace rooksill::net
