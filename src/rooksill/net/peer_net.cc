#include "rooksill/net/peer_net.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace rooksill::net {

namespace {
constexpr size_t kMaxFrame = size_t{1024} * 1024;
constexpr size_t kMaxQueued = size_t{2} * 1024 * 1024;
constexpr size_t kMaxIncoming = 64;
constexpr double kReconnect = 0.2;
constexpr double kConnectPatience = 1.0;
constexpr double kStuck = 2.0;  // a peer that takes nothing for longer is connected to anew
}  // namespace

struct PeerNet::Out {
  std::string label, address;
  Socket socket;
  bool connected = false;
  double since = 0, progress = 0;
  std::string queue;
  size_t sent = 0;
  std::unique_ptr<IoWatcher> watcher;
};

struct PeerNet::In {
  Socket socket;
  std::string buffer;
  std::unique_ptr<IoWatcher> watcher;
};

PeerNet::PeerNet(struct ev_loop* loop, const PlatformSettings& settings, OnMessage on_message,
                 OnLost on_lost)
    : loop_(loop),
      on_message_(std::move(on_message)),
      on_lost_(std::move(on_lost)),
      listener_(listen_on(settings.peer_address)) {
  accept_ = std::make_unique<IoWatcher>(loop_, listener_.fd(), EV_READ, [this](int) { accept(); });
  for (const auto& p : settings.peers) {
    auto o = std::make_unique<Out>();
    o->label = p.label;
    o->address = p.endpoint;
    connect(*o);
    out_.emplace(p.label, std::move(o));
  }
  reconnect_ = std::make_unique<Timer>(loop_, kReconnect, kReconnect, [this] {
    const double now = ev_now(loop_);
    for (auto& [label, o] : out_) {
      const bool late = !o->connected && now - o->since > kConnectPatience;
      const bool stuck = o->connected && !o->queue.empty() && now - o->progress > kStuck;
      if (!o->socket.open())
        connect(*o);
      else if (late || stuck)
        close(*o);
    }
  });
}

PeerNet::~PeerNet() = default;

void PeerNet::connect(Out& o) {
  o.socket = connect_to(o.address);
  o.connected = false;
  o.since = ev_now(loop_);
  if (!o.socket.open()) return;
  o.watcher = std::make_unique<IoWatcher>(loop_, o.socket.fd(), EV_READ | EV_WRITE,
                                          [this, &o](int e) { on_out(o, e); });
}

void PeerNet::close(Out& o) {
  const bool was = o.connected;
  o.watcher.reset();
  o.socket.reset();
  o.connected = false;
  o.queue.clear();
  o.sent = 0;
  if (was) on_lost_(o.label);
}

void PeerNet::on_out(Out& o, int events) {
  if (!o.connected) {
    if (connect_error(o.socket.fd()) != 0) return close(o);
    if ((events & EV_WRITE) == 0) return;
    o.connected = true;
    o.progress = ev_now(loop_);
  }
  if ((events & EV_READ) != 0) {
    char buffer[256];  // nothing is ever sent this way: only an end can be read
    ssize_t n = ::recv(o.socket.fd(), buffer, sizeof buffer, 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) return close(o);
  }
  write(o);
}

void PeerNet::write(Out& o) {
  while (o.sent < o.queue.size()) {
    ssize_t n =
        ::send(o.socket.fd(), o.queue.data() + o.sent, o.queue.size() - o.sent, MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      o.watcher->want(EV_READ | EV_WRITE);
      return;
    }
    if (n <= 0) return close(o);
    o.sent += static_cast<size_t>(n);
    o.progress = ev_now(loop_);
  }
  o.queue.clear();
  o.sent = 0;
  o.watcher->want(EV_READ);
}

void PeerNet::send(const std::string& label, const std::string& bytes) {
  auto it = out_.find(label);
  if (it == out_.end() || !it->second->connected || bytes.size() > kMaxFrame) return;
  Out& o = *it->second;
  if (o.queue.size() + bytes.size() > kMaxQueued) return close(o);
  if (o.queue.empty()) o.progress = ev_now(loop_);
  const auto n = static_cast<uint32_t>(bytes.size());
  for (int shift = 24; shift >= 0; shift -= 8) o.queue.push_back(static_cast<char>(n >> shift));
  o.queue += bytes;
  write(o);
}

void PeerNet::accept() {
  for (;;) {
    int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    Socket s(fd);
    if (in_.size() >= kMaxIncoming) in_.erase(in_.begin());  // the oldest is likeliest dead
    auto in = std::make_unique<In>();
    in->socket = std::move(s);
    const uint64_t id = next_++;
    in->watcher = std::make_unique<IoWatcher>(loop_, fd, EV_READ, [this, id](int) { on_in(id); });
    in_.emplace(id, std::move(in));
  }
}

void PeerNet::on_in(uint64_t id) {
  auto it = in_.find(id);
  if (it == in_.end()) return;
  In& in = *it->second;
  char buffer[32768];
  ssize_t n = ::recv(in.socket.fd(), buffer, sizeof buffer, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n <= 0) {
    in_.erase(it);
    return;
  }
  in.buffer.append(buffer, static_cast<size_t>(n));
  size_t at = 0;
  while (in.buffer.size() - at >= 4) {
    uint32_t size = 0;
    for (size_t i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(in.buffer[at + i]);
    if (size > kMaxFrame) {
      in_.erase(it);
      return;
    }
    if (in.buffer.size() - at - 4 < size) break;
    on_message_(in.buffer.substr(at + 4, size));
    at += 4 + size;
  }
  in.buffer.erase(0, at);
}

}  // namespace rooksill::net
