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

bool parse(const std::string& address, sockaddr_in& out) {
  auto colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  std::memset(&out, 0, sizeof out);
  out.sin_family = AF_INET;
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  auto [p, ec] = std::from_chars(address.data() + colon + 1, end, port);
  if (ec != std::errc() || p != end) return false;
  out.sin_port = htons(port);
  return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

void no_delay(int fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

void Socket::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

Socket listen_on(const std::string& address) {
  sockaddr_in a{};
  if (!parse(address, a)) throw std::runtime_error(address + ": not an address");
  Socket s(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!s.open()) throw std::runtime_error(address + ": " + std::strerror(errno));
  int on = 1;
  setsockopt(s.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(s.fd(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(s.fd(), 512) != 0)
    throw std::runtime_error(address + ": " + std::strerror(errno));
  return s;
}

Socket connect_to(const std::string& address) {
  sockaddr_in a{};
  if (!parse(address, a)) return {};
  Socket s(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!s.open()) return {};
  no_delay(s.fd());
  if (connect(s.fd(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS)
    return {};
  return s;
}

int connect_error(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

}  // namespace rooksill::net
