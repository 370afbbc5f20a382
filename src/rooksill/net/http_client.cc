#include "rooksill/net/http_client.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstdint>
#include <iterator>
#include <utility>
#include <vector>

namespace rooksill::net {

namespace {
constexpr size_t kMaxHeadBytes = size_t{16} * 1024;
// Larger than any expected response: the protocol does not limit the size of a watch response.
constexpr size_t kMaxBodyBytes = size_t{16} * 1024 * 1024;
constexpr size_t kMaxIdlePerAddress = 8;
constexpr double kIdleTimeoutS = 30;
}  // namespace

struct HttpClient::Connection {
  uint64_t id = 0;
  std::string address;
  Socket socket;
  bool is_connected = false, has_call = false;
  uint64_t call_id = 0;  // of the call in progress
  std::string send_buffer;
  size_t bytes_sent = 0;
  HttpParser parser{HttpParser::Kind::kResponse, kMaxHeadBytes, kMaxBodyBytes};
  double deadline = 0;  // of the call, or of the idle connection, by the loop's clock
  std::unique_ptr<IoWatcher> watcher;
};

HttpClient::HttpClient(struct ev_loop* loop, size_t max_connections, CallDoneHandler on_call_done)
    : loop_(loop), max_connections_(max_connections), on_call_done_(std::move(on_call_done)) {
  expiry_timer_ = std::make_unique<Timer>(loop_, 0.05, 0.05, [this] { close_expired(); });
}

HttpClient::~HttpClient() = default;

void HttpClient::call(const runtime::Call& call) {
  auto& idle = idle_by_address_[call.address];
  if (!idle.empty()) {
    const uint64_t id = idle.back();
    idle.pop_back();
    return start_call(*connections_.at(id), call);
  }
  // The limit applies to worker calls only: the store and the cloud need few connections
  // and always get them.
  if (call.target == runtime::Target::kWorker && connections_.size() >= max_connections_ &&
      !close_oldest_idle())
    return on_call_done_({call.id, 0, "", true});
  Socket socket = connect_to(call.address);
  if (!socket.is_open()) return on_call_done_({call.id, 0, "", true});
  auto connection = std::make_unique<Connection>();
  connection->id = next_connection_id_++;
  connection->address = call.address;
  connection->socket = std::move(socket);
  const uint64_t id = connection->id;
  connection->watcher =
      std::make_unique<IoWatcher>(loop_, connection->socket.fd(), EV_READ | EV_WRITE,
                                  [this, id](int events) { on_io(id, events); });
  Connection& new_connection = *connection;
  connections_.emplace(id, std::move(connection));
  start_call(new_connection, call);
}

void HttpClient::start_call(Connection& connection, const runtime::Call& call) {
  connection.has_call = true;
  connection.call_id = call.id;
  connection.deadline = ev_now(loop_) + call.timeout_s;
  connection.parser = HttpParser(HttpParser::Kind::kResponse, kMaxHeadBytes, kMaxBodyBytes);
  connection.bytes_sent = 0;
  connection.send_buffer =
      call.method + " " + call.path + " HTTP/1.1\r\nHost: " + connection.address + "\r\n";
  if (call.method != "GET" || !call.body.empty())
    connection.send_buffer +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(call.body.size()) +
        "\r\n";
  connection.send_buffer += "\r\n" + call.body;
  if (connection.is_connected) write(connection);
}

void HttpClient::on_io(uint64_t id, int events) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection& connection = *it->second;
  if (!connection.is_connected) {
    if (connect_error(connection.socket.fd()) != 0) return close_connection(id);
    if ((events & EV_WRITE) == 0) return;
    connection.is_connected = true;
    write(connection);
    return;
  }
  if ((events & EV_WRITE) != 0) write(connection);
  it = connections_.find(id);
  if (it != connections_.end() && (events & EV_READ) != 0) read(*it->second);
}

void HttpClient::write(Connection& connection) {
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
  connection.watcher->set_events(EV_READ);
}

void HttpClient::read(Connection& connection) {
  const uint64_t id = connection.id;
  char buffer[32768];
  for (;;) {
    ssize_t received = ::recv(connection.socket.fd(), buffer, sizeof buffer, 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (received <= 0 || !connection.has_call) return close_connection(id);
    size_t consumed = 0;
    auto state = connection.parser.feed({buffer, static_cast<size_t>(received)}, consumed);
    if (state == HttpParser::State::kError) return close_connection(id);
    if (state == HttpParser::State::kDone) {
      if (consumed != static_cast<size_t>(received)) {
        // The server sent bytes after the response, so the connection is not reused.
        HttpMessage message = connection.parser.extract_message();
        message.closes_connection = true;
        return finish_call(connection, std::move(message));
      }
      return finish_call(connection, connection.parser.extract_message());
    }
  }
}

void HttpClient::finish_call(Connection& connection, HttpMessage message) {
  runtime::CallDone done{connection.call_id, message.status, std::move(message.body), false};
  connection.has_call = false;
  connection.deadline = ev_now(loop_) + kIdleTimeoutS;
  auto& idle = idle_by_address_[connection.address];
  if (message.closes_connection || idle.size() >= kMaxIdlePerAddress)
    connections_.erase(connection.id);
  else
    idle.push_back(connection.id);
  on_call_done_(std::move(done));
}

void HttpClient::close_connection(uint64_t id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection& connection = *it->second;
  if (connection.has_call) {
    runtime::CallDone done{connection.call_id, 0, "", !connection.is_connected};
    connections_.erase(it);
    on_call_done_(std::move(done));
    return;
  }
  idle_by_address_[connection.address].remove(id);
  connections_.erase(it);
}

bool HttpClient::close_oldest_idle() {
  const Connection* oldest = nullptr;
  for (const auto& [id, connection] : connections_)
    if (!connection->has_call && (oldest == nullptr || connection->deadline < oldest->deadline))
      oldest = connection.get();
  if (oldest == nullptr) return false;
  close_connection(oldest->id);
  return true;
}

void HttpClient::close_expired() {
  std::vector<uint64_t> expired;
  for (const auto& [id, connection] : connections_)
    if (ev_now(loop_) > connection->deadline) expired.push_back(id);
  for (uint64_t id : expired) close_connection(id);
  for (auto it = idle_by_address_.begin(); it != idle_by_address_.end();)
    it = it->second.empty() ? idle_by_address_.erase(it) : std::next(it);
}

}  // namespace rooksill::net
