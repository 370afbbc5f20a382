#include "rooksill/net/http_client.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstdint>
#include <iterator>
#include <utility>
#include <vector>

namespace rooksill::net {

namespace {
constexpr size_t kMaxHead = size_t{16} * 1024;
constexpr size_t kMaxBody = size_t{16} * 1024 * 1024;  // a watch has no size limit
constexpr size_t kIdlePerHost = 8;
constexpr double kIdle = 30;
}  // namespace

struct HttpClient::Connection {
  uint64_t id = 0;
  std::string address;
  Socket socket;
  bool connected = false, busy = false;
  uint64_t call = 0;
  std::string out;
  size_t sent = 0;
  HttpParser parser{HttpParser::Kind::kResponse, kMaxHead, kMaxBody};
  double deadline = 0;
  std::unique_ptr<IoWatcher> watcher;
};

HttpClient::HttpClient(struct ev_loop* loop, size_t max_connections, Done done)
    : loop_(loop), max_connections_(max_connections), done_(std::move(done)) {
  sweep_ = std::make_unique<Timer>(loop_, 0.05, 0.05, [this] { sweep(); });
}

HttpClient::~HttpClient() = default;

void HttpClient::call(const runtime::Call& call) {
  auto& idle = idle_[call.address];
  if (!idle.empty()) {
    const uint64_t id = idle.back();
    idle.pop_back();
    return start(*connections_.at(id), call);
  }
  // The state service and the cloud always get their few; workers' share what is left.
  if (call.target == runtime::Target::kWorker && connections_.size() >= max_connections_ &&
      !drop_idle())
    return done_({call.id, 0, "", true});
  Socket s = connect_to(call.address);
  if (!s.open()) return done_({call.id, 0, "", true});
  auto c = std::make_unique<Connection>();
  c->id = next_++;
  c->address = call.address;
  c->socket = std::move(s);
  const uint64_t id = c->id;
  c->watcher = std::make_unique<IoWatcher>(loop_, c->socket.fd(), EV_READ | EV_WRITE,
                                           [this, id](int e) { on_io(id, e); });
  Connection& ref = *c;
  connections_.emplace(id, std::move(c));
  start(ref, call);
}

void HttpClient::start(Connection& c, const runtime::Call& call) {
  c.busy = true;
  c.call = call.id;
  c.deadline = ev_now(loop_) + call.timeout_s;
  c.parser = HttpParser(HttpParser::Kind::kResponse, kMaxHead, kMaxBody);
  c.sent = 0;
  c.out = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + c.address + "\r\n";
  if (call.method != "GET" || !call.body.empty())
    c.out +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(call.body.size()) +
        "\r\n";
  c.out += "\r\n" + call.body;
  if (c.connected) write(c);
}

void HttpClient::on_io(uint64_t id, int events) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection& c = *it->second;
  if (!c.connected) {
    if (connect_error(c.socket.fd()) != 0) return fail(id);
    if ((events & EV_WRITE) == 0) return;
    c.connected = true;
    write(c);
    return;
  }
  if ((events & EV_WRITE) != 0) write(c);
  it = connections_.find(id);
  if (it != connections_.end() && (events & EV_READ) != 0) read(*it->second);
}

void HttpClient::write(Connection& c) {
  while (c.sent < c.out.size()) {
    ssize_t n = ::send(c.socket.fd(), c.out.data() + c.sent, c.out.size() - c.sent, MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      c.watcher->want(EV_READ | EV_WRITE);
      return;
    }
    if (n <= 0) return fail(c.id);
    c.sent += static_cast<size_t>(n);
  }
  c.watcher->want(EV_READ);
}

void HttpClient::read(Connection& c) {
  const uint64_t id = c.id;
  char buffer[32768];
  for (;;) {
    ssize_t n = ::recv(c.socket.fd(), buffer, sizeof buffer, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0 || !c.busy) return fail(id);
    size_t used = 0;
    auto state = c.parser.feed({buffer, static_cast<size_t>(n)}, used);
    if (state == HttpParser::State::kError) return fail(id);
    if (state == HttpParser::State::kDone) {
      if (used != static_cast<size_t>(n)) {
        // Bytes beyond the answer: this connection cannot be trusted any further.
        HttpMessage m = c.parser.take();
        m.close = true;
        return finish(c, std::move(m));
      }
      return finish(c, c.parser.take());
    }
  }
}

void HttpClient::finish(Connection& c, HttpMessage m) {
  runtime::CallDone done{c.call, m.status, std::move(m.body), false};
  c.busy = false;
  c.deadline = ev_now(loop_) + kIdle;
  auto& idle = idle_[c.address];
  if (m.close || idle.size() >= kIdlePerHost)
    connections_.erase(c.id);
  else
    idle.push_back(c.id);
  done_(std::move(done));
}

void HttpClient::fail(uint64_t id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection& c = *it->second;
  if (c.busy) {
    runtime::CallDone done{c.call, 0, "", !c.connected};
    connections_.erase(it);
    done_(std::move(done));
    return;
  }
  idle_[c.address].remove(id);
  connections_.erase(it);
}

// The connection that has been idle for longest makes room for a new one.
bool HttpClient::drop_idle() {
  const Connection* oldest = nullptr;
  for (const auto& [id, c] : connections_)
    if (!c->busy && (oldest == nullptr || c->deadline < oldest->deadline)) oldest = c.get();
  if (oldest == nullptr) return false;
  fail(oldest->id);
  return true;
}

void HttpClient::sweep() {
  std::vector<uint64_t> late;
  for (const auto& [id, c] : connections_)
    if (ev_now(loop_) > c->deadline) late.push_back(id);
  for (uint64_t id : late) fail(id);
  for (auto it = idle_.begin(); it != idle_.end();)
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
}

}  // namespace rooksill::net
