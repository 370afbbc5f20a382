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
constexpr size_t kMaxHeadBytes = size_t{16} * 1024;
constexpr size_t kMaxBodyBytes = size_t{64} * 1024;  // the protocol's limit for requests
constexpr size_t kMaxSendBufferBytes = size_t{1024} * 1024;
// A connection is closed after this time with a partly received request or a partly sent response.
constexpr double kRequestTimeoutS = 10;
// A connection is closed after this time without a request.
constexpr double kIdleTimeoutS = 120;
// Above this fraction of the connection limit, connections are closed after each response.
constexpr double kKeepAliveLimitRatio = 0.8;

const char* reason_phrase(int status) {
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
  Connection(uint64_t connection_id, Socket accepted_socket)
      : id(connection_id),
        socket(std::move(accepted_socket)),
        parser(HttpParser::Kind::kRequest, kMaxHeadBytes, kMaxBodyBytes) {}
  uint64_t id;
  Socket socket;
  HttpParser parser;
  std::string receive_buffer, send_buffer;
  size_t bytes_sent = 0;
  bool is_awaiting_reply = false;  // while set, further input stays in `receive_buffer`
  bool is_closing = false, should_close_after_reply = false;
  double timeout_started_at = 0;  // start of the request or idle timeout, by the loop's clock
  std::unique_ptr<IoWatcher> watcher;
};

HttpServer::HttpServer(struct ev_loop* loop, const std::string& address, size_t max_connections,
                       RequestHandler handler)
    : loop_(loop),
      listener_(listen_on(address)),
      max_connections_(max_connections),
      handler_(std::move(handler)) {
  accept_watcher_ = std::make_unique<IoWatcher>(loop_, listener_.fd(), EV_READ,
                                                [this](int) { accept_connections(); });
  expiry_timer_ = std::make_unique<Timer>(loop_, 5.0, 5.0, [this] { close_expired(); });
}

HttpServer::~HttpServer() = default;

void HttpServer::accept_connections() {
  for (;;) {
    int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    Socket socket(fd);
    if (connections_.size() >= max_connections_ && !close_oldest_idle())
      continue;  // the socket's destructor closes it
    int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const uint64_t id = next_connection_id_++;
    auto connection = std::make_unique<Connection>(id, std::move(socket));
    connection->timeout_started_at = ev_now(loop_);
    connection->watcher = std::make_unique<IoWatcher>(
        loop_, fd, EV_READ, [this, id](int events) { on_io(id, events); });
    connections_.emplace(id, std::move(connection));
  }
}

void HttpServer::on_io(uint64_t id, int events) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  if ((events & EV_WRITE) != 0) write(*it->second);
  it = connections_.find(id);
  if (it != connections_.end() && (events & EV_READ) != 0) read(*it->second);
}

void HttpServer::read(Connection& connection) {
  char buffer[16384];
  const uint64_t id = connection.id;
  ssize_t received = ::recv(connection.socket.fd(), buffer, sizeof buffer, 0);
  if (received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR))
    return close_connection(id);
  if (received < 0) return;
  if (connection.is_closing) return;
  if (connection.parser.is_idle() && !connection.is_awaiting_reply)
    connection.timeout_started_at = ev_now(loop_);
  connection.receive_buffer.append(buffer, static_cast<size_t>(received));
  // Clients of this protocol do not pipeline requests; input received ahead of a reply is limited.
  if (connection.is_awaiting_reply &&
      connection.receive_buffer.size() > kMaxBodyBytes + kMaxHeadBytes)
    return close_connection(id);
  parse_request(connection);
}

bool HttpServer::parse_request(Connection& connection) {
  if (connection.is_awaiting_reply || connection.receive_buffer.empty()) return false;
  size_t consumed = 0;
  auto state = connection.parser.feed(connection.receive_buffer, consumed);
  connection.receive_buffer.erase(0, consumed);
  if (state == HttpParser::State::kError) {
    connection.is_closing = true;
    send_response(connection, connection.parser.error_status(), "{\"error\":\"malformed request\"}",
                  0, true);
    return false;
  }
  if (state != HttpParser::State::kDone) return false;
  HttpMessage message = connection.parser.extract_message();
  connection.is_awaiting_reply = true;
  connection.should_close_after_reply = message.closes_connection;
  handler_(connection.id, std::move(message));
  return true;
}

void HttpServer::reply(uint64_t id, int status, const std::string& body, double retry_after_s) {
  auto it = connections_.find(id);
  if (it == connections_.end() || !it->second->is_awaiting_reply) return;
  Connection& connection = *it->second;
  connection.is_awaiting_reply = false;
  connection.timeout_started_at = ev_now(loop_);
  // A single controller may have to serve all workers and users, which are more than it has sockets
  // for. Near the limit each connection serves one request only, so that all clients get answers,
  // including health checks.
  const bool is_near_limit = static_cast<double>(connections_.size()) >
                             kKeepAliveLimitRatio * static_cast<double>(max_connections_);
  send_response(connection, status, body, retry_after_s,
                connection.should_close_after_reply || is_near_limit);
  it = connections_.find(id);
  if (it != connections_.end() && !it->second->is_closing) parse_request(*it->second);
}

void HttpServer::send_response(Connection& connection, int status, const std::string& body,
                               double retry_after_s, bool should_close) {
  connection.send_buffer +=
      "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\nContent-Type: " +
      (body.empty() || body[0] == '{' ? "application/json" : "text/plain; version=0.0.4") +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (retry_after_s > 0)
    connection.send_buffer +=
        "Retry-After: " + std::to_string(static_cast<int>(std::ceil(retry_after_s))) + "\r\n";
  if (should_close) connection.send_buffer += "Connection: close\r\n";
  connection.send_buffer += "\r\n";
  connection.send_buffer += body;
  if (should_close) connection.is_closing = true;
  if (connection.send_buffer.size() > kMaxSendBufferBytes) return close_connection(connection.id);
  write(connection);
}

void HttpServer::write(Connection& connection) {
  while (connection.bytes_sent < connection.send_buffer.size()) {
    ssize_t written =
        ::send(connection.socket.fd(), connection.send_buffer.data() + connection.bytes_sent,
               connection.send_buffer.size() - connection.bytes_sent, MSG_NOSIGNAL);
    if (written < 0 && (errno == EAGAIN || errno == EINTR)) {
      connection.watcher->set_events(EV_READ | EV_WRITE);
      return;
    }
    if (written <= 0) return close_connection(connection.id);
    connection.bytes_sent += static_cast<size_t>(written);
  }
  connection.send_buffer.clear();
  connection.bytes_sent = 0;
  if (connection.is_closing) {
    // Closes only the sending direction, so that the client can read the response. The connection
    // is closed after kRequestTimeoutS at the latest.
    ::shutdown(connection.socket.fd(), SHUT_WR);
    connection.timeout_started_at = ev_now(loop_) - kIdleTimeoutS + kRequestTimeoutS;
  }
  connection.watcher->set_events(EV_READ);
}

bool HttpServer::close_oldest_idle() {
  const Connection* oldest = nullptr;
  for (const auto& [id, connection] : connections_)
    if (!connection->is_awaiting_reply && connection->parser.is_idle() &&
        connection->send_buffer.empty() &&
        (oldest == nullptr || connection->timeout_started_at < oldest->timeout_started_at))
      oldest = connection.get();
  if (oldest == nullptr) return false;
  close_connection(oldest->id);
  return true;
}

void HttpServer::close_connection(uint64_t id) { connections_.erase(id); }

void HttpServer::close_expired() {
  std::vector<uint64_t> expired;
  const double now = ev_now(loop_);
  for (const auto& [id, connection] : connections_) {
    const bool is_incomplete = !connection->is_awaiting_reply &&
                               (!connection->parser.is_idle() || !connection->send_buffer.empty());
    if (!connection->is_awaiting_reply &&
        now - connection->timeout_started_at > (is_incomplete ? kRequestTimeoutS : kIdleTimeoutS))
      expired.push_back(id);
  }
  for (uint64_t id : expired) close_connection(id);
}

}  // namespace rooksill::net
