#include "rooksill/net/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <utility>
#include <vector>

namespace rooksill::net {

namespace {
constexpr size_t kMaxHead = size_t{16} * 1024;
constexpr size_t kMaxBody = size_t{64} * 1024;  // the protocol's limit of a request
constexpr double kSlowRequest = 10;             // a request half sent for longer is given up
constexpr double kIdle = 120;  // a connection without requests for longer is closed
constexpr size_t kMaxOut = size_t{1024} * 1024;
constexpr double kCrowded = 0.8;  // part of the room for connections past which none is kept

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}
}  // namespace

struct HttpServer::Connection {
  Connection(uint64_t i, Socket s)
      : id(i), socket(std::move(s)), parser(HttpParser::Kind::kRequest, kMaxHead, kMaxBody) {}
  uint64_t id;
  Socket socket;
  HttpParser parser;
  std::string in, out;
  size_t sent = 0;
  bool answering = false;  // a request is with the core; later ones wait in `in`
  bool closing = false, close_after = false;
  double started = 0;
  std::unique_ptr<IoWatcher> watcher;
};

HttpServer::HttpServer(struct ev_loop* loop, const std::string& address, size_t max_connections,
                       Handler handler)
    : loop_(loop),
      listener_(listen_on(address)),
      max_connections_(max_connections),
      handler_(std::move(handler)) {
  accept_ = std::make_unique<IoWatcher>(loop_, listener_.fd(), EV_READ, [this](int) { accept(); });
  sweep_ = std::make_unique<Timer>(loop_, 5.0, 5.0, [this] { sweep(); });
}

HttpServer::~HttpServer() = default;

void HttpServer::accept() {
  for (;;) {
    int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    Socket s(fd);
    if (connections_.size() >= max_connections_ && !drop_idle()) continue;  // closed at once
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const uint64_t id = next_++;
    auto c = std::make_unique<Connection>(id, std::move(s));
    c->started = ev_now(loop_);
    c->watcher =
        std::make_unique<IoWatcher>(loop_, fd, EV_READ, [this, id](int e) { on_io(id, e); });
    connections_.emplace(id, std::move(c));
  }
}

void HttpServer::on_io(uint64_t id, int events) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  if ((events & EV_WRITE) != 0) write(*it->second);
  it = connections_.find(id);
  if (it != connections_.end() && (events & EV_READ) != 0) read(*it->second);
}

void HttpServer::read(Connection& c) {
  char buffer[16384];
  const uint64_t id = c.id;
  ssize_t n = ::recv(c.socket.fd(), buffer, sizeof buffer, 0);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) return drop(id);
  if (n < 0) return;
  if (c.closing) return;
  if (c.parser.idle() && !c.answering) c.started = ev_now(loop_);
  c.in.append(buffer, static_cast<size_t>(n));
  // Nothing of this protocol pipelines; what is sent ahead is bounded.
  if (c.answering && c.in.size() > kMaxBody + kMaxHead) return drop(id);
  parse(c);
}

bool HttpServer::parse(Connection& c) {
  if (c.answering || c.in.empty()) return false;
  size_t used = 0;
  auto state = c.parser.feed(c.in, used);
  c.in.erase(0, used);
  if (state == HttpParser::State::kError) {
    c.closing = true;
    send(c, c.parser.error_status(), "{\"error\":\"malformed request\"}", 0, true);
    return false;
  }
  if (state != HttpParser::State::kDone) return false;
  HttpMessage m = c.parser.take();
  c.answering = true;
  c.close_after = m.close;
  handler_(c.id, std::move(m));
  return true;
}

void HttpServer::reply(uint64_t id, int status, const std::string& body, double retry_after_s) {
  auto it = connections_.find(id);
  if (it == connections_.end() || !it->second->answering) return;
  Connection& c = *it->second;
  c.answering = false;
  c.started = ev_now(loop_);
  // One controller may face all workers and all users, more than it has sockets for: connections
  // are then taken up for one request each, so that everybody's is answered, health checks' too.
  const bool crowded =
      static_cast<double>(connections_.size()) > kCrowded * static_cast<double>(max_connections_);
  send(c, status, body, retry_after_s, c.close_after || crowded);
  it = connections_.find(id);
  if (it != connections_.end() && !it->second->closing) parse(*it->second);
}

void HttpServer::send(Connection& c, int status, const std::string& body, double retry_after_s,
                      bool close) {
  c.out += "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\nContent-Type: " +
           (body.empty() || body[0] == '{' ? "application/json" : "text/plain; version=0.0.4") +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (retry_after_s > 0)
    c.out += "Retry-After: " + std::to_string(static_cast<int>(std::ceil(retry_after_s))) + "\r\n";
  if (close) c.out += "Connection: close\r\n";
  c.out += "\r\n";
  c.out += body;
  if (close) c.closing = true;
  if (c.out.size() > kMaxOut) return drop(c.id);
  write(c);
}

void HttpServer::write(Connection& c) {
  while (c.sent < c.out.size()) {
    ssize_t n = ::send(c.socket.fd(), c.out.data() + c.sent, c.out.size() - c.sent, MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      c.watcher->want(EV_READ | EV_WRITE);
      return;
    }
    if (n <= 0) return drop(c.id);
    c.sent += static_cast<size_t>(n);
  }
  c.out.clear();
  c.sent = 0;
  if (c.closing) {
    // The other side reads the answer before it sees the end.
    ::shutdown(c.socket.fd(), SHUT_WR);
    c.started = ev_now(loop_) - kIdle + kSlowRequest;
  }
  c.watcher->want(EV_READ);
}

// Makes room for a new connection: the one that has been idle for longest goes.
bool HttpServer::drop_idle() {
  const Connection* oldest = nullptr;
  for (const auto& [id, c] : connections_)
    if (!c->answering && c->parser.idle() && c->out.empty() &&
        (oldest == nullptr || c->started < oldest->started))
      oldest = c.get();
  if (oldest == nullptr) return false;
  drop(oldest->id);
  return true;
}

void HttpServer::drop(uint64_t id) { connections_.erase(id); }

void HttpServer::sweep() {
  std::vector<uint64_t> late;
  const double now = ev_now(loop_);
  for (const auto& [id, c] : connections_) {
    const bool half = !c->answering && (!c->parser.idle() || !c->out.empty());
    if (!c->answering && now - c->started > (half ? kSlowRequest : kIdle)) late.push_back(id);
  }
  for (uint64_t id : late) drop(id);
}

}  // namespace rooksill::net
