#include "rooksill/controller/process.h"

#include <ev.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/controller/controller.h"
#include "rooksill/net/http_client.h"
#include "rooksill/net/http_server.h"
#include "rooksill/net/peer_net.h"
#include "rooksill/runtime/commands.h"
#include "rooksill/runtime/effects.h"
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

spdlog::level::level_enum log_level(runtime::LogLine::Level level) {
  switch (level) {
    case runtime::LogLine::Level::kError:
      return spdlog::level::err;
    case runtime::LogLine::Level::kInfo:
      return spdlog::level::info;
    case runtime::LogLine::Level::kDebug:
      return spdlog::level::debug;
  }
  return spdlog::level::info;
}

// The event loop around the core. What comes in from the network is queued; before each wait of the
// loop the queue goes to the core as one batch, and the batch's effects are carried out.
class Process {
 public:
  explicit Process(const Settings& settings)
      : loop_(ev_loop_new(EVFLAG_AUTO)),
        controller_(settings, seed(settings), read_clocks().wall,
                    spdlog::get_level() <= spdlog::level::debug),
        client_(loop_.get(), sockets(settings, runtime::kOutgoingSocketRatio),
                [this](runtime::CallDone done) { push(std::move(done)); }),
        server_(loop_.get(), settings.platform.api_address,
                sockets(settings, runtime::kIncomingSocketRatio),
                [this](uint64_t id, net::HttpMessage message) {
                  push(runtime::Request{id, std::move(message.method), std::move(message.target),
                                        std::move(message.body)});
                }),
        peers_(
            loop_.get(), settings.platform,
            [this](std::string bytes) { push(runtime::PeerMessage{std::move(bytes)}); },
            [this](std::string label) { push(runtime::PeerDisconnected{std::move(label)}); }),
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
  // `share`: one of runtime/socket_budget.h.
  static size_t sockets(const Settings& settings, double share) {
    return static_cast<size_t>(share * settings.platform.max_sockets);
  }
  // Two processes that start at the same moment must not draw the same numbers.
  static uint64_t seed(const Settings& settings) {
    std::random_device device;
    const uint64_t random = (static_cast<uint64_t>(device()) << 32) ^ device();
    return random ^ std::hash<std::string>{}(settings.platform.label);
  }

  void push(runtime::Command command) { queue_.push_back(std::move(command)); }

  // Effects may fail at once and queue further commands, so this goes on until there are none.
  void drain() {
    while (!queue_.empty()) {
      std::vector<runtime::Command> batch(std::make_move_iterator(queue_.begin()),
                                          std::make_move_iterator(queue_.end()));
      queue_.clear();
      controller_.run(batch, read_clocks());
      const runtime::Effects effects = std::exchange(controller_.effects(), {});
      carry_out(effects);
    }
  }

  void carry_out(const runtime::Effects& effects) {
    for (const runtime::LogLine& line : effects.log)
      spdlog::log(log_level(line.level), "{}: {}", line.component, line.text);
    // The other controllers first: they are to know of a cancellation before its user does.
    for (const runtime::PeerSend& message : effects.peer_messages) peers_.send(message.label, message.bytes);
    for (const runtime::Reply& reply : effects.replies)
      server_.reply(reply.request, reply.status, reply.body, reply.retry_after_s);
    for (const runtime::Call& call : effects.calls) client_.call(call);
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
  Process process(settings);
  process.run();
}

}  // namespace rooksill::controller
