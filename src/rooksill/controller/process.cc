#include "rooksill/controller/process.h"

#include <ev.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/controller/controller.h"
#include "rooksill/net/http_client.h"
#include "rooksill/net/http_server.h"
#include "rooksill/net/peer_net.h"
#include "rooksill/runtime/socket_budget.h"

namespace rooksill::controller {

namespace {

struct LoopDeleter {
  void operator()(struct ev_loop* loop) const { ev_loop_destroy(loop); }
};

runtime::Time read_clocks() {
  using Seconds = std::chrono::duration<double>;
  return {Seconds(std::chrono::steady_clock::now().time_since_epoch()).count(),
          Seconds(std::chrono::system_clock::now().time_since_epoch()).count()};
}

class Process {
 public:
  explicit Process(const Settings& settings)
      : loop_(ev_loop_new(EVFLAG_AUTO)),
        controller_(settings, seed(settings), read_clocks().wall,
                    spdlog::get_level() <= spdlog::level::debug),
        client_(loop_.get(), sockets(settings, runtime::kOutgoingSockets),
                [this](runtime::CallDone d) { push(std::move(d)); }),
        server_(loop_.get(), settings.platform.api_address,
                sockets(settings, runtime::kIncomingSockets),
                [this](uint64_t id, net::HttpMessage m) {
                  push(runtime::Request{id, std::move(m.method), std::move(m.target),
                                        std::move(m.body)});
                }),
        peers_(
            loop_.get(), settings.platform,
            [this](std::string bytes) { push(runtime::PeerMessage{std::move(bytes)}); },
            [this](std::string label) { push(runtime::PeerLost{std::move(label)}); }),
        tick_(loop_.get(), 0, Controller::kTick, [this] { push(runtime::Tick{}); }) {
    ev_prepare_init(&prepare_, [](struct ev_loop*, ev_prepare* w, int) {
      static_cast<Process*>(w->data)->drain();
    });
    prepare_.data = this;
    ev_prepare_start(loop_.get(), &prepare_);
  }
  ~Process() { ev_prepare_stop(loop_.get(), &prepare_); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void run() { ev_run(loop_.get(), 0); }

 private:
  static size_t sockets(const Settings& s, double part) {
    return static_cast<size_t>(part * s.platform.max_sockets);
  }
  // Two processes that start at the same moment must not draw the same numbers.
  static uint64_t seed(const Settings& s) {
    std::random_device device;
    uint64_t v = (static_cast<uint64_t>(device()) << 32) ^ device();
    return v ^ std::hash<std::string>{}(s.platform.label);
  }

  void push(runtime::Command c) { queue_.push_back(std::move(c)); }

  // Before each wait: all that has come in goes to the core as one batch.
  void drain() {
    while (!queue_.empty()) {
      std::vector<runtime::Command> batch(std::make_move_iterator(queue_.begin()),
                                          std::make_move_iterator(queue_.end()));
      queue_.clear();
      controller_.run(batch, read_clocks());
      runtime::Effects out = std::move(controller_.effects());
      controller_.effects().clear();
      for (const auto& line : out.log) {
        auto level = line.level == runtime::LogLine::Level::kError  ? spdlog::level::err
                     : line.level == runtime::LogLine::Level::kInfo ? spdlog::level::info
                                                                    : spdlog::level::debug;
        spdlog::log(level, "{}: {}", line.component, line.text);
      }
      // The other controllers first: they are to know of a cancellation before its user does.
      for (const auto& p : out.peer) peers_.send(p.label, p.bytes);
      for (const auto& r : out.replies) server_.reply(r.request, r.status, r.body, r.retry_after_s);
      for (const auto& c : out.calls) client_.call(c);
    }
  }

  std::unique_ptr<struct ev_loop, LoopDeleter> loop_;
  Controller controller_;
  std::deque<runtime::Command> queue_;
  net::HttpClient client_;
  net::HttpServer server_;
  net::PeerNet peers_;
  net::Timer tick_;
  ev_prepare prepare_;
};

}  // namespace

void serve(const Settings& settings) {
  Process service(settings);
  service.run();
}

}  // namespace rooksill::controller
