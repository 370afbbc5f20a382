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

spdlog::level::level_enum to_spdlog_level(runtime::LogLine::Level level) {
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

// Runs the controller core in an event loop. Network input is queued as commands; before each wait
// of the loop the core processes the queue as one batch, and the effects of the batch are executed.
class Process {
 public:
  explicit Process(const Settings& settings)
      : loop_(ev_loop_new(EVFLAG_AUTO)),
        controller_(settings, random_seed(settings), read_clocks().wall,
                    spdlog::get_level() <= spdlog::level::debug),
        client_(loop_.get(), socket_limit(settings, runtime::kOutgoingSocketRatio),
                [this](runtime::CallDone done) { enqueue(std::move(done)); }),
        server_(loop_.get(), settings.platform.api_address,
                socket_limit(settings, runtime::kIncomingSocketRatio),
                [this](uint64_t id, net::HttpMessage message) {
                  enqueue(runtime::Request{id, std::move(message.method), std::move(message.target),
                                           std::move(message.body)});
                }),
        peers_(
            loop_.get(), settings.platform,
            [this](std::string bytes) { enqueue(runtime::PeerMessage{std::move(bytes)}); },
            [this](std::string label) { enqueue(runtime::PeerDisconnected{std::move(label)}); }),
        tick_timer_(loop_.get(), 0, Controller::kTickIntervalS,
                    [this] { enqueue(runtime::Tick{}); }) {
    ev_prepare_init(&prepare_watcher_, [](struct ev_loop*, ev_prepare* watcher, int) {
      static_cast<Process*>(watcher->data)->process_queue();
    });
    prepare_watcher_.data = this;
    ev_prepare_start(loop_.get(), &prepare_watcher_);
  }
  ~Process() { ev_prepare_stop(loop_.get(), &prepare_watcher_); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Runs the event loop until the process is killed.
  void run() { ev_run(loop_.get(), 0); }

 private:
  // Returns the number of sockets for `ratio`, one of the constants in runtime/socket_budget.h.
  static size_t socket_limit(const Settings& settings, double ratio) {
    return static_cast<size_t>(ratio * settings.platform.max_sockets);
  }
  // Mixes in the controller's label, so that two processes that start at the same time do not use
  // the same random sequence.
  static uint64_t random_seed(const Settings& settings) {
    std::random_device device;
    const uint64_t random = (static_cast<uint64_t>(device()) << 32) ^ device();
    return random ^ std::hash<std::string>{}(settings.platform.label);
  }

  void enqueue(runtime::Command command) { command_queue_.push_back(std::move(command)); }

  // Processes batches until the queue is empty: an effect that fails immediately queues further
  // commands.
  void process_queue() {
    while (!command_queue_.empty()) {
      std::vector<runtime::Command> batch(std::make_move_iterator(command_queue_.begin()),
                                          std::make_move_iterator(command_queue_.end()));
      command_queue_.clear();
      controller_.run(batch, read_clocks());
      const runtime::Effects effects = std::exchange(controller_.effects(), {});
      execute_effects(effects);
    }
  }

  void execute_effects(const runtime::Effects& effects) {
    for (const runtime::LogLine& line : effects.log)
      spdlog::log(to_spdlog_level(line.level), "{}: {}", line.component, line.text);
    // Peer messages are sent before replies, so that the other controllers receive a cancellation
    // before the user gets its confirmation.
    for (const runtime::PeerSend& message : effects.peer_messages)
      peers_.send(message.label, message.bytes);
    for (const runtime::Reply& reply : effects.replies)
      server_.reply(reply.request, reply.status, reply.body, reply.retry_after_s);
    for (const runtime::Call& call : effects.calls) client_.call(call);
  }

  std::unique_ptr<struct ev_loop, LoopDeleter> loop_;
  Controller controller_;
  std::deque<runtime::Command> command_queue_;
  net::HttpClient client_;
  net::HttpServer server_;
  net::PeerNet peers_;
  net::Timer tick_timer_;
  ev_prepare prepare_watcher_;
};

}  // namespace

void serve(const Settings& settings) {
  Process process(settings);
  process.run();
}

}  // namespace rooksill::controller
