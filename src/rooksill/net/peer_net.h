// Framed messages between controllers: four bytes of length, then msgpack. One connection each way.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "rooksill/net/loop.h"
#include "rooksill/net/socket.h"
#include "rooksill/settings/settings.h"

namespace rooksill::net {

class PeerNet {
 public:
  using OnMessage = std::function<void(std::string bytes)>;
  using OnLost = std::function<void(std::string label)>;

  PeerNet(struct ev_loop* loop, const PlatformSettings& settings, OnMessage on_message,
          OnLost on_lost);
  ~PeerNet();
  void send(const std::string& label, const std::string& bytes);

 private:
  struct Out;
  struct In;
  void connect(Out& o);
  void on_out(Out& o, int events);
  void write(Out& o);
  void close(Out& o);
  void accept();
  void on_in(uint64_t id);

  struct ev_loop* loop_;
  OnMessage on_message_;
  OnLost on_lost_;
  Socket listener_;
  std::unique_ptr<IoWatcher> accept_;
  std::map<std::string, std::unique_ptr<Out>> out_;
  std::map<uint64_t, std::unique_ptr<In>> in_;
  uint64_t next_ = 1;
  std::unique_ptr<Timer> reconnect_;
};

}  // namespace rooksill::net
