#include "rooksill/net/peer_net.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace rooksill::net {

namespace {
constexpr size_t kMaxFrameBytes = size_t{1024} * 1024;
constexpr size_t kMaxSendBufferBytes = size_t{2} * 1024 * 1024;
constexpr size_t kMaxIncomingConnections = 64;
constexpr double kReconnectIntervalS = 0.2;
constexpr double kConnectTimeoutS = 1.0;
// A connection on which no queued byte could be sent for longer is closed and opened again.
constexpr double kSendTimeoutS = 2.0;
}  // namespace

struct PeerNet::OutgoingConnection {
  std::string label, address;
  Socket socket;
  bool is_connected = false;
  double connect_started_at = 0, last_progress_at = 0;  // by the loop's clock
  std::string send_buffer;
  size_t bytes_sent = 0;
  std::unique_ptr<IoWatcher> watcher;
};

struct PeerNet::IncomingConnection {
  Socket socket;
  std::string receive_buffer;
  std::unique_ptr<IoWatcher> watcher;
};

PeerNet::PeerNet(struct ev_loop* loop, const PlatformSettings& settings, MessageHandler on_message,
                 DisconnectHandler on_disconnect)
    : loop_(loop),
      on_message_(std::move(on_message)),
      on_disconnect_(std::move(on_disconnect)),
      listener_(listen_on(settings.peer_address)) {
  accept_watcher_ = std::make_unique<IoWatcher>(loop_, listener_.fd(), EV_READ,
                                                [this](int) { accept_connections(); });
  for (const auto& peer : settings.peers) {
    auto connection = std::make_unique<OutgoingConnection>();
    connection->label = peer.label;
    connection->address = peer.endpoint;
    connect(*connection);
    outgoing_.emplace(peer.label, std::move(connection));
  }
  reconnect_timer_ =
      std::make_unique<Timer>(loop_, kReconnectIntervalS, kReconnectIntervalS, [this] {
        const double now = ev_now(loop_);
        for (auto& [label, connection] : outgoing_) {
          const bool is_connect_overdue =
              !connection->is_connected && now - connection->connect_started_at > kConnectTimeoutS;
          const bool is_send_stalled = connection->is_connected &&
                                       !connection->send_buffer.empty() &&
                                       now - connection->last_progress_at > kSendTimeoutS;
          if (!connection->socket.is_open())
            connect(*connection);
          else if (is_connect_overdue || is_send_stalled)
            close(*connection);
        }
      });
}

PeerNet::~PeerNet() = default;

void PeerNet::connect(OutgoingConnection& connection) {
  connection.socket = connect_to(connection.address);
  connection.is_connected = false;
  connection.connect_started_at = ev_now(loop_);
  if (!connection.socket.is_open()) return;
  connection.watcher = std::make_unique<IoWatcher>(
      loop_, connection.socket.fd(), EV_READ | EV_WRITE,
      [this, &connection](int events) { on_outgoing_io(connection, events); });
}

void PeerNet::close(OutgoingConnection& connection) {
  const bool was_connected = connection.is_connected;
  connection.watcher.reset();
  connection.socket.reset();
  connection.is_connected = false;
  connection.send_buffer.clear();
  connection.bytes_sent = 0;
  if (was_connected) on_disconnect_(connection.label);
}

void PeerNet::on_outgoing_io(OutgoingConnection& connection, int events) {
  if (!connection.is_connected) {
    if (connect_error(connection.socket.fd()) != 0) return close(connection);
    if ((events & EV_WRITE) == 0) return;
    connection.is_connected = true;
    connection.last_progress_at = ev_now(loop_);
  }
  if ((events & EV_READ) != 0) {
    char buffer[256];  // peers send no data on this connection: only its end can be read
    ssize_t received = ::recv(connection.socket.fd(), buffer, sizeof buffer, 0);
    if (received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR))
      return close(connection);
  }
  write(connection);
}

void PeerNet::write(OutgoingConnection& connection) {
  while (connection.bytes_sent < connection.send_buffer.size()) {
    ssize_t written =
        ::send(connection.socket.fd(), connection.send_buffer.data() + connection.bytes_sent,
               connection.send_buffer.size() - connection.bytes_sent, MSG_NOSIGNAL);
    if (written < 0 && (errno == EAGAIN || errno == EINTR)) {
      connection.watcher->set_events(EV_READ | EV_WRITE);
      return;
    }
    if (written <= 0) return close(connection);
    connection.bytes_sent += static_cast<size_t>(written);
    connection.last_progress_at = ev_now(loop_);
  }
  connection.send_buffer.clear();
  connection.bytes_sent = 0;
  connection.watcher->set_events(EV_READ);
}

void PeerNet::send(const std::string& label, const std::string& bytes) {
  auto it = outgoing_.find(label);
  if (it == outgoing_.end() || !it->second->is_connected || bytes.size() > kMaxFrameBytes) return;
  OutgoingConnection& connection = *it->second;
  if (connection.send_buffer.size() + bytes.size() > kMaxSendBufferBytes) return close(connection);
  if (connection.send_buffer.empty()) connection.last_progress_at = ev_now(loop_);
  const auto size = static_cast<uint32_t>(bytes.size());
  for (int shift = 24; shift >= 0; shift -= 8)
    connection.send_buffer.push_back(static_cast<char>(size >> shift));
  connection.send_buffer += bytes;
  write(connection);
}

void PeerNet::accept_connections() {
  for (;;) {
    int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    Socket socket(fd);
    if (incoming_.size() >= kMaxIncomingConnections)
      // The oldest connection is the most likely to be dead.
      incoming_.erase(incoming_.begin());
    auto connection = std::make_unique<IncomingConnection>();
    connection->socket = std::move(socket);
    const uint64_t id = next_incoming_id_++;
    connection->watcher =
        std::make_unique<IoWatcher>(loop_, fd, EV_READ, [this, id](int) { on_incoming_io(id); });
    incoming_.emplace(id, std::move(connection));
  }
}

void PeerNet::on_incoming_io(uint64_t id) {
  auto it = incoming_.find(id);
  if (it == incoming_.end()) return;
  IncomingConnection& connection = *it->second;
  char buffer[32768];
  ssize_t received = ::recv(connection.socket.fd(), buffer, sizeof buffer, 0);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (received <= 0) {
    incoming_.erase(it);
    return;
  }
  connection.receive_buffer.append(buffer, static_cast<size_t>(received));
  size_t offset = 0;
  while (connection.receive_buffer.size() - offset >= 4) {
    uint32_t frame_size = 0;
    for (size_t i = 0; i < 4; ++i)
      frame_size =
          frame_size << 8 | static_cast<unsigned char>(connection.receive_buffer[offset + i]);
    if (frame_size > kMaxFrameBytes) {
      incoming_.erase(it);
      return;
    }
    if (connection.receive_buffer.size() - offset - 4 < frame_size) break;
    on_message_(connection.receive_buffer.substr(offset + 4, frame_size));
    offset += 4 + frame_size;
  }
  connection.receive_buffer.erase(0, offset);
}

}  // namespace rooksill::net
